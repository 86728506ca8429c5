import type { Resources } from "@samphireward/core/resources";
import type { WorkClass } from "@samphireward/core/work-class";

/** A task to be placed. */
export interface PlacementRequest {
    readonly key: string;
    readonly resources: Resources;
    readonly interferenceClass: string;
    readonly workClass: WorkClass;
    /** Workers on which the task failed before. */
    readonly avoid: ReadonlySet<string>;
    /** Running tasks of the task's pool for each rack; latency-critical tasks are spread over racks by it. */
    readonly rackCounts?: ReadonlyMap<string, number>;
}
