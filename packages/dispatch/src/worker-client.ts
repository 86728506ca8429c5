import type { Run } from "@samphireward/jobs/run";
import type { StartOutcome } from "@samphireward/jobs/start-outcome";
import type { Result } from "ts-results-es";
import type { HeartbeatResponse } from "./heartbeat-response.js";
import type { HeartbeatRequest } from "./heartbeat-request.js";
import type { OrderFailure } from "./order-failure.js";

/** Orders to one worker. `token` is the fencing token: a worker does nothing for a token below the highest seen. */
export abstract class WorkerClient {
    /** `deadlineMs` is a time on the worker's clock until which everything there may run. */
    abstract start(run: Run, token: number, deadlineMs: number): Promise<StartOutcome>;

    abstract stop(task: string, number: number, token: number): Promise<Result<void, OrderFailure>>;

    abstract pace(run: Run, percent: number, token: number): Promise<Result<void, OrderFailure>>;

    /** Extends the lease, acknowledges ends and lists the runs. */
    abstract heartbeat(req: HeartbeatRequest): Promise<Result<HeartbeatResponse, OrderFailure>>;

    abstract close(): void;
}
