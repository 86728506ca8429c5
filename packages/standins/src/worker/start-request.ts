import type { Resources } from "@samphireward/core/resources";
import type { TaskPayload } from "./task-payload.js";

/** A start command whose body has been validated. */
export interface StartRequest {
    readonly cell: string;
    readonly epoch: number;
    readonly key: string;
    readonly attempt: number;
    readonly resources: Resources;
    readonly leaseMs: number;
    readonly payload: TaskPayload;
    readonly checkpoint?: string | undefined;
}
