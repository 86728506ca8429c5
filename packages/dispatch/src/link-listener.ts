import type { WorkerIncarnation } from "@samphireward/jobs/worker-incarnation";

/** What a link tells the owner of its cell. */
export interface LinkListener {
    /** Something changed that may allow or require orders. */
    readonly onChange: () => void;
    /** The worker has seen a higher fencing token. */
    readonly onFenced: (life: WorkerIncarnation) => void;
}
