import type { Run } from "@samphireward/jobs/run";
import type { Result } from "ts-results-es";
import type { HeartbeatResponse } from "./heartbeat-response.js";
import type { HeartbeatRequest } from "./heartbeat-request.js";
import type { OrderFailure } from "./order-failure.js";
import type { StartResponse } from "./start-response.js";

/** Sends orders to one worker. A worker refuses orders whose fencing token is below the highest that it has seen. */
export abstract class WorkerClient {
    /** `deadlineMs` is the time on the worker's clock until which all its runs may continue. */
    abstract start(run: Run, fencingToken: number, deadlineMs: number): Promise<StartResponse>;

    abstract stop(task: string, number: number, fencingToken: number): Promise<Result<void, OrderFailure>>;

    abstract pace(run: Run, percent: number, fencingToken: number): Promise<Result<void, OrderFailure>>;

    /** Extends the lease, acknowledges ends and lists the runs. */
    abstract heartbeat(req: HeartbeatRequest): Promise<Result<HeartbeatResponse, OrderFailure>>;

    abstract close(): void;
}
