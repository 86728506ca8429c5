import type { Resources } from "@samphireward/core/resources";

/** A worker as a placement policy sees it. */
export interface WorkerView {
    readonly name: string;
    readonly rack: string;
    readonly capacity: Resources;
    /** Sum of the reservations of tasks and of the service; unknown counts as reserved. */
    readonly reserved: Resources;
    /** Lagged measured load from 0 to 1 (share of the processors in use). */
    readonly measuredLoad: number;
    /** Interference classes of what runs here, with their reserved processors. */
    readonly processorsByClass: ReadonlyMap<string, number>;
    /** Whether new tasks may be placed here (not leaving, drained, quarantined or out of reach). */
    readonly open: boolean;
}
