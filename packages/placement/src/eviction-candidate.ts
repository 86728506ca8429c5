import type { Resources } from "@samphireward/core/resources";

/** A running batch task that may be throttled or evicted. */
export interface EvictionCandidate {
    readonly key: string;
    readonly resources: Resources;
    /** Processor seconds since the last checkpoint, which an eviction loses. */
    readonly lostProcessorSeconds: number;
    /** Estimated share (0 to 1) of the worker's pressure that the task causes at its current processor share. */
    readonly pressureShare: number;
    /** Share (0 to 1) of its processors that the task may use now; 1 if it is not throttled. */
    readonly processorShare: number;
}
