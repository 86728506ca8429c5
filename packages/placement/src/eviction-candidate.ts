import type { Resources } from "@samphireward/core/resources";

/** A running batch task that may be throttled or evicted. */
export interface EvictionCandidate {
    readonly key: string;
    readonly resources: Resources;
    /** Processor seconds done since the last checkpoint, lost or repeated when it is evicted. */
    readonly lostProcessorSeconds: number;
    /** Estimated part (0 to 1) of the worker's pressure that this task causes at its current share. */
    readonly pressureShare: number;
    /** Share (0 to 1) of its processors that it may use now; 1 when it is not throttled. */
    readonly processorShare: number;
}
