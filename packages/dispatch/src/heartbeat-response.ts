import type { WorkerListing } from "@samphireward/jobs/worker-listing";

/** Response to a heartbeat: the worker's runs and its clock. */
export interface HeartbeatResponse {
    readonly listing: WorkerListing;
    /** The worker's monotonic clock, in milliseconds. */
    readonly clockMs: number;
}
