import type { Run } from "./run.js";

/** A start order without an answer, which may still be carried out. */
export interface LateStart {
    readonly run: Run;
    /** Monotonic time after which it cannot be carried out any more. */
    readonly expiresAtMs: number;
    /** Monotonic time of the last stop that was ordered against it; 0: none. */
    readonly stopSentAtMs: number;
    /** Whether the worker confirmed a stop in its present life, and so refuses the start. */
    readonly isStopConfirmed: boolean;
}
