import type { Resources } from "./resources.js";

/** A task as its caller submits it. `key` makes the submission idempotent; sizes and run time are hints. */
export interface TaskSpec {
    readonly key: string;
    readonly pool: string;
    readonly resources: Resources;
    /** Expected run time in milliseconds. */
    readonly expectedRunMs: number;
    /** Opaque text that is passed to the worker, at most 16 KiB. */
    readonly payload: string;
}
