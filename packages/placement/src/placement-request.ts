import type { Resources } from "@samphireward/core/resources";
import type { WorkClass } from "@samphireward/core/work-class";

/** A task to be placed. */
export interface PlacementRequest {
    readonly key: string;
    readonly resources: Resources;
    readonly interferenceClass: string;
    readonly workClass: WorkClass;
    /** Workers that must not be chosen because the task failed on them before. */
    readonly excludedWorkers: ReadonlySet<string>;
    /**
     * Whether the task may wait although a worker has room, to avoid interference with latency-critical work. The
     * owner sets it for batch tasks until they have waited for the time that the user tolerates.
     */
    readonly mayWait?: boolean;
    /** Running tasks of the task's pool in each rack. Latency-critical tasks are spread over racks by these counts. */
    readonly runningTasksByRack?: ReadonlyMap<string, number>;
}
