import type { Run } from "./run.js";

/** A start order that got no response and that the worker may still carry out. */
export interface LateStart {
    readonly run: Run;
    /** Monotonic time after which it can no longer be carried out. */
    readonly expiresAtMs: number;
    /** Whether the lease of its worker is over, so that the task may run elsewhere. */
    readonly isGivenUp: boolean;
    /** Monotonic time of the last stop order for it; 0 if none was sent. */
    readonly stopSentAtMs: number;
    /**
     * Monotonic time at which the current incarnation of the worker confirmed a stop, and so refuses the start from then
     * on; undefined before.
     */
    readonly stopConfirmedAtMs: number | undefined;
    /** Whether a listing that was requested after the confirmed stop has been read: its run is not there any more. */
    readonly isOver: boolean;
}
