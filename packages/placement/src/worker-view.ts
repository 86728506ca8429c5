import type { Resources } from "@samphireward/core/resources";

/** Properties of a worker that placement policies use. */
export interface WorkerView {
    readonly name: string;
    readonly rack: string;
    readonly capacity: Resources;
    /** Sum of the reservations of the tasks and the service. Resources in unknown use count as reserved. */
    readonly reserved: Resources;
    /** Share of the processors in use (0 to 1), as last reported; it lags behind. */
    readonly measuredLoad: number;
    /** Reserved processors of each interference class that runs on the worker. */
    readonly processorsByClass: ReadonlyMap<string, number>;
    /** Whether new tasks may be placed on the worker: it is not leaving, drained, quarantined or unreachable. */
    readonly open: boolean;
}
