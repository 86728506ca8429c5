import type { StartOutcome } from "@samphireward/jobs/start-outcome";

/** Response of a worker to a start order. */
export interface StartResponse {
    readonly outcome: StartOutcome;
    /** The worker's clock when it responded, in milliseconds; undefined without a response that says so. */
    readonly clockMs?: number | undefined;
}
