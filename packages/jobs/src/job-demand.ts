import type { Occurrence } from "./occurrence.js";

/** What an occurrence still asks for, and what its result is worth. */
export interface JobDemand {
    readonly occurrence: Occurrence;
    readonly priority: number;
    readonly service: string;
    /** Work of its tasks that have not started, in processor-milliseconds. */
    readonly workMs: number;
    /** Expected time from now to its end if everything starts at once, in milliseconds. */
    readonly pathMs: number;
    /** Time from when it is due to when its result should be there, in milliseconds. */
    readonly targetMs: number;
    /** Wall-clock time by which its result should be there, in milliseconds since 1970. */
    readonly targetAtMs: number;
    /** Worth of its result in time, relative to the mean of its queue. */
    readonly worth: number;
}
