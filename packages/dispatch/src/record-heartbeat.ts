import type { WorkerEntry } from "@samphireward/jobs/worker-entry";
import type { Result } from "ts-results-es";
import { HeartbeatOutcome } from "./heartbeat-outcome.js";
import type { HeartbeatResponse } from "./heartbeat-response.js";
import type { Metrics } from "./metrics.js";
import type { OrderFailure } from "./order-failure.js";

const outcomeOf = (
    response: Result<HeartbeatResponse, OrderFailure>,
    { startedAtMs }: WorkerEntry,
): HeartbeatOutcome => {
    if (response.isErr()) {
        return response.error;
    }
    return response.value.listing.startedAtMs === startedAtMs
        ? HeartbeatOutcome.Answered
        : HeartbeatOutcome.OtherIncarnation;
};

/**
 * Counts a heartbeat by its outcome and records the time of the response beyond the wait that the worker was asked
 * for, which is negative if the worker responded before the end of the wait.
 */
export const recordHeartbeat = (
    metrics: Metrics,
    entry: WorkerEntry,
    response: Result<HeartbeatResponse, OrderFailure>,
    beyondWaitMs: number,
): void => {
    const outcome = outcomeOf(response, entry);
    metrics.heartbeats.inc({ outcome });
    if (outcome === HeartbeatOutcome.Answered) {
        metrics.heartbeatSeconds.observe(Math.max(0, beyondWaitMs) / 1_000);
    }
};
