import type { Run } from "@samphireward/jobs/run";
import { StartOutcome } from "@samphireward/jobs/start-outcome";
import type { Result } from "ts-results-es";
import { Ok } from "ts-results-es";
import type { HeartbeatRequest } from "../src/heartbeat-request.js";
import type { HeartbeatResponse } from "../src/heartbeat-response.js";
import type { OrderFailure } from "../src/order-failure.js";
import type { StartResponse } from "../src/start-response.js";
import { WorkerClient } from "../src/worker-client.js";

/** A worker client whose heartbeats are answered by the test and whose orders succeed at once. */
export class ManualWorkerClient extends WorkerClient {
    readonly heartbeats: HeartbeatRequest[] = [];
    /** Deadline of each start. */
    readonly startDeadlinesMs: number[] = [];
    /** Clock in the response to each start; none if it is undefined. */
    startClockMs: number | undefined;
    private answer: (result: Result<HeartbeatResponse, OrderFailure>) => void = () => undefined;

    static create(): ManualWorkerClient {
        return new ManualWorkerClient();
    }

    /** Answers the unanswered heartbeat. */
    async answerHeartbeat(result: Result<HeartbeatResponse, OrderFailure>): Promise<void> {
        this.answer(result);
        await new Promise(resolve => setImmediate(resolve));
    }

    override start(_run: Run, _fencingToken: number, deadlineMs: number): Promise<StartResponse> {
        this.startDeadlinesMs.push(deadlineMs);
        return Promise.resolve({ outcome: StartOutcome.Started, clockMs: this.startClockMs });
    }

    override stop(): Promise<Result<void, OrderFailure>> {
        return Promise.resolve(Ok(undefined));
    }

    override pace(): Promise<Result<void, OrderFailure>> {
        return Promise.resolve(Ok(undefined));
    }

    override heartbeat(req: HeartbeatRequest): Promise<Result<HeartbeatResponse, OrderFailure>> {
        this.heartbeats.push(req);
        return new Promise(resolve => (this.answer = resolve));
    }

    override close(): void {
        return;
    }
}
