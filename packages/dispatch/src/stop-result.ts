import type { StopReason } from "@samphireward/jobs/stop-reason";
import type { WorkerIncarnation } from "@samphireward/jobs/worker-incarnation";
import type { OrderFailure } from "./order-failure.js";

/** A stop order and its outcome. */
export interface StopResult {
    readonly worker: WorkerIncarnation;
    readonly task: string;
    readonly number: number;
    readonly reason: StopReason;
    readonly outcome: "stopped" | OrderFailure;
}
