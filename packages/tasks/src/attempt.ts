import type { Resources } from "@samphireward/core/resources";
import { AttemptPhase } from "./attempt-phase.js";
import { attemptId } from "./attempt-id.js";
import type { TaskRef } from "./task-ref.js";

/** One attempt of a task on a worker, as the owner tracks it. Its reservation lasts as long as this object. */
export class Attempt implements TaskRef {
    /** When the last start or renewal settled; `undefined` while the worker may still act on an earlier owner. */
    leaseBaseMs: number | undefined;
    /** A start or renewal is under way; the lease end is unknown. */
    callOutstanding = false;
    /** Checkpoint of an eviction in progress. */
    checkpoint: string | undefined;
    checkpointTries = 0;
    checkpointOutstanding = false;
    /** An eviction is decided; its transition may still wait for the log. */
    evicting = false;
    /** Error of a worker that rejected the command itself; counts as a failure of the task there. */
    rejection: string | undefined;

    private constructor(
        readonly key: string,
        readonly attempt: number,
        readonly resources: Resources,
        public phase: AttemptPhase,
    ) {}

    static create(ref: TaskRef, resources: Resources, phase: AttemptPhase): Attempt {
        return new Attempt(ref.key, ref.attempt, resources, phase);
    }

    /** Name of the attempt's reservation. */
    get id(): string {
        return attemptId(this);
    }

    get ref(): TaskRef {
        return { key: this.key, attempt: this.attempt };
    }

    /** Marks the attempt to be stopped, unless that is under way or done. */
    requestStop(): void {
        if (this.phase === AttemptPhase.Live || this.phase === AttemptPhase.StartSent) {
            this.phase = AttemptPhase.Stopping;
        }
    }
}
