import type { Resources } from "@samphireward/core/resources";

/** Status of a worker in the operators' API (`GET /v1/cells`). */
export interface WorkerStatus {
    readonly name: string;
    readonly rack: string;
    /** `open`, or the first reason that applies why no task is placed on the worker. */
    readonly state: "open" | "gone" | "leaving" | "drained" | "quarantined" | "probation" | "unreachable";
    readonly capacity: Resources;
    readonly reserved: Resources;
    readonly tasks: number;
}
