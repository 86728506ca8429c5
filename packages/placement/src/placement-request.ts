import type { Resources } from "@samphireward/core/resources";
import type { WorkClass } from "@samphireward/core/work-class";

/** A task to be placed. */
export interface PlacementRequest {
    readonly key: string;
    readonly resources: Resources;
    readonly interferenceClass: string;
    readonly workClass: WorkClass;
    /** Workers on which the task failed before. */
    readonly excludedWorkers: ReadonlySet<string>;
    /**
     * Whether the task may wait although a worker has room, so as not to disturb latency-critical work. The
     * owner sets it for batch tasks until they have waited for as long as the user tolerates.
     */
    readonly mayWait?: boolean;
    /** Running tasks of the task's pool for each rack; latency-critical tasks are spread over racks by it. */
    readonly runningTasksByRack?: ReadonlyMap<string, number>;
}
