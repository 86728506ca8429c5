import type { Resources } from "@samphireward/core/resources";

/** A running batch task that may be throttled or evicted. */
export interface EvictionCandidate {
    readonly key: string;
    readonly resources: Resources;
    /** Processor seconds done since the last checkpoint, lost or repeated when it is evicted. */
    readonly lostWork: number;
    /** Estimated share (0 to 1) of the worker's pressure that this task causes; 1 when unknown. */
    readonly harm: number;
    readonly throttled: boolean;
}
