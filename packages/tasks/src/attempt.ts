import type { Resources } from "@samphireward/core/resources";
import { attemptId } from "./attempt-id.js";
import { AttemptPhase } from "./attempt-phase.js";
import type { OwnerContext } from "./owner-context.js";
import type { AttemptRef } from "./attempt-ref.js";

/** One attempt of a task on a worker, as the owner tracks it. Its reservation lasts as long as this object. */
export class Attempt implements AttemptRef {
    /** When the last start or renewal settled; `undefined` while the worker may still act on an earlier owner. */
    leaseCallSettledMs: number | undefined;
    /** A start or renewal is under way; the lease end is unknown. */
    leaseCallPending = false;
    /** When this owner saw it run first, by the monotonic clock. */
    runningSinceMs = 0;
    /** Share of its processors that it may use. */
    processorShare = 1;
    /** An eviction is decided; its transition may still wait for the log. */
    isEvicting = false;
    checkpointCalls = 0;
    checkpointPending = false;
    /** Checkpoint of an eviction in progress. */
    checkpoint: string | undefined;
    /** Error of a worker that rejected the command itself; counts as a failure of the task there. */
    rejectionError: string | undefined;

    /** The worker's attempts that are to be stopped, kept so that they are found without a search. */
    stoppingAttempts: Set<Attempt> | undefined;

    private constructor(
        readonly key: string,
        readonly attempt: number,
        readonly resources: Resources,
        private currentPhase: AttemptPhase,
    ) {}

    static create(ref: AttemptRef, resources: Resources, phase: AttemptPhase): Attempt {
        return new Attempt(ref.key, ref.attempt, resources, phase);
    }

    get phase(): AttemptPhase {
        return this.currentPhase;
    }

    set phase(phase: AttemptPhase) {
        this.currentPhase = phase;
        if (phase === AttemptPhase.Stopping) {
            this.stoppingAttempts?.add(this);
        } else {
            this.stoppingAttempts?.delete(this);
        }
    }

    /** Name of the attempt's reservation. */
    get id(): string {
        return attemptId(this);
    }

    get ref(): AttemptRef {
        return { key: this.key, attempt: this.attempt };
    }

    /** Marks a running attempt to be stopped, unless that is under way or done. */
    requestStop(): void {
        if (this.phase === AttemptPhase.Live) {
            this.phase = AttemptPhase.Stopping;
        }
    }

    /** Records that the attempt has ended for certain and without an outcome. */
    recordEnd(recorder: OwnerContext): void {
        this.phase = AttemptPhase.Ended;
        const wallMs = recorder.wallMs();
        const { ref, checkpoint, rejectionError: rejection } = this;
        if (rejection === undefined) {
            recorder.record({ kind: "released", ...ref, checkpoint, wallMs });
        } else {
            recorder.record({ kind: "failed", ...ref, error: rejection, wallMs });
        }
    }
}
