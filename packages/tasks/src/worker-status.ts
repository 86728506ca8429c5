import type { Resources } from "@samphireward/core/resources";

/** A worker as operators see it (`GET /v1/cells`). */
export interface WorkerStatus {
    readonly name: string;
    readonly rack: string;
    /** `open`, or why no task is placed here: the first reason that applies. */
    readonly state: "open" | "gone" | "leaving" | "drained" | "quarantined" | "probation" | "unreachable";
    readonly capacity: Resources;
    readonly reserved: Resources;
    readonly tasks: number;
}
