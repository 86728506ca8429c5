import type { LastingWaitReason } from "./lasting-wait-reason.js";

/** A lasting task without a confirmed run, why it has none, and the capacity that its owner believes to be free. */
export interface LastingWait {
    readonly task: string;
    /** Time without a confirmed run, in milliseconds. */
    readonly waitedMs: number;
    readonly reason: LastingWaitReason;
    /** Time until it may start, in milliseconds; undefined if it may start now. */
    readonly delayMs: number | undefined;
    /** Worker that has not confirmed its start; undefined if no start is on its way. */
    readonly worker: string | undefined;
    /** Workers of previous owners that have not listed their runs, if its job waits for them; otherwise undefined. */
    readonly unread: number | undefined;
    /** Processors that it reserves. */
    readonly processors: number;
    /** Workers of its service that accept starts. */
    readonly reachable: number;
    /** Those of them that may run it, permits aside. */
    readonly suitable: number;
    /** Those of the suitable ones with enough free capacity. */
    readonly withCapacity: number;
    /** Most free processors on one suitable worker. */
    readonly maxFree: number;
    /** Free processors on all suitable workers. */
    readonly free: number;
}
