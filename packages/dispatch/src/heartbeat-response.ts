import type { WorkerListing } from "@samphireward/jobs/worker-listing";

/** A worker's runs and its clock. */
export interface HeartbeatResponse {
    readonly listing: WorkerListing;
    /** The worker's steady clock, in milliseconds. */
    readonly clockMs: number;
}
