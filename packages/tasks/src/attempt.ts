import type { Resources } from "@samphireward/core/resources";
import { attemptId } from "./attempt-id.js";
import { AttemptPhase } from "./attempt-phase.js";
import type { OwnerContext } from "./owner-context.js";
import type { AttemptRef } from "./attempt-ref.js";

/** One attempt of a task on a worker, as the owner tracks it. Its reservation lasts as long as this object. */
export class Attempt implements AttemptRef {
    /** When the last start or renewal call settled; `undefined` while the worker may still obey an earlier owner. */
    leaseCallSettledMs: number | undefined;
    /** A start or renewal call is pending, so the end of the lease is unknown. */
    leaseCallPending = false;
    /** Monotonic time at which this owner first saw the attempt run. */
    runningSinceMs = 0;
    /** Share (0 to 1) of its reserved processors that the attempt may use. */
    processorShare = 1;
    /** An eviction was decided; its transition may still be queued for the log. */
    isEvicting = false;
    checkpointCalls = 0;
    checkpointPending = false;
    /** Checkpoint taken for the eviction in progress. */
    checkpoint: string | undefined;
    /** Error of a worker that rejected the command itself; counts as a failure of the task on that worker. */
    rejectionError: string | undefined;

    /** The worker refused the start, so the attempt never ran. */
    wasRefused = false;
    /** The worker does not know the running attempt, and no stop was requested. */
    isForgotten = false;

    /** Index of the worker's attempts in phase `Stopping`, which avoids a search. */
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

    /** Key of the attempt's reservation. */
    get id(): string {
        return attemptId(this);
    }

    get ref(): AttemptRef {
        return { key: this.key, attempt: this.attempt };
    }

    /** Requests the stop of a running attempt, unless a stop is in progress or done. */
    requestStop(): void {
        if (this.phase === AttemptPhase.Live) {
            this.phase = AttemptPhase.Stopping;
        }
    }

    /** Records that the attempt has definitely ended and left no outcome. */
    recordEnd(owner: OwnerContext): void {
        this.phase = AttemptPhase.Ended;
        const wallMs = owner.wallMs();
        const { ref, checkpoint, rejectionError } = this;
        if (rejectionError === undefined) {
            owner.record({ kind: "released", ...ref, checkpoint, wallMs });
        } else {
            owner.record({ kind: "failed", ...ref, error: rejectionError, wallMs });
        }
    }
}
