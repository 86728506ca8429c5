import type { Run } from "./run.js";

/** A start order that got no response and that the worker may still carry out. */
export interface LateStart {
    readonly run: Run;
    /** Monotonic time after which it can no longer be carried out. */
    readonly expiresAtMs: number;
    /** Monotonic time of the last stop order for it; 0 if none was sent. */
    readonly stopSentAtMs: number;
    /** Whether the current incarnation of the worker has confirmed a stop, and so refuses the start. */
    readonly isStopConfirmed: boolean;
}
