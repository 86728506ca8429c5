import type { WorkerIncarnation } from "./worker-incarnation.js";

/** The next or current run of a suspected task, on a worker that runs no other suspected task. */
export interface Trial {
    readonly worker: WorkerIncarnation;
    /** Whether the stored progress names the worker. The run starts only then, so that the next owner knows of it. */
    isStored: boolean;
}
