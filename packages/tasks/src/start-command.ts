import type { Resources } from "@samphireward/core/resources";
import type { AttemptRef } from "./attempt-ref.js";

/** Command that starts one attempt of a task on a worker. */
export interface StartCommand extends AttemptRef {
    readonly resources: Resources;
    readonly leaseMs: number;
    readonly payload: string;
    /** Checkpoint to resume from. */
    readonly checkpoint?: string;
}
