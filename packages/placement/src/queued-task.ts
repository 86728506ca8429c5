import type { Resources } from "@samphireward/core/resources";
import type { WorkClass } from "@samphireward/core/work-class";

/** A task that waits to be placed. */
export interface QueuedTask {
    readonly key: string;
    readonly team: string;
    readonly workClass: WorkClass;
    readonly interferenceClass: string;
    readonly resources: Resources;
    /** Declared run time; a hint that can be wrong by a large factor. */
    readonly expectedRunMs: number;
    /** Time of the first submission. An evicted task keeps it, and with it its position in the queue. */
    readonly submittedAtMs: number;
    /** Whether the task may crash its worker. Such tasks wait apart, because at most one may run on each worker. */
    readonly isSuspect?: boolean;
}
