import type { WorkerIncarnation } from "@samphireward/jobs/worker-incarnation";

/** Callbacks from a link to the owner of its cell. */
export interface LinkListener {
    /** Called after a change that may allow or require orders. */
    readonly onChange: () => void;
    /** Called when the worker has seen a higher fencing token. */
    readonly onFenced: (worker: WorkerIncarnation) => void;
}
