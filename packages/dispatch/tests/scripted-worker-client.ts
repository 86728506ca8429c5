import type { ManualClock } from "@samphireward/core/manual-clock";
import { StartOutcome } from "@samphireward/jobs/start-outcome";
import type { Result } from "ts-results-es";
import { Err } from "ts-results-es";
import type { HeartbeatResponse } from "../src/heartbeat-response.js";
import { OrderFailure } from "../src/order-failure.js";
import type { StartResponse } from "../src/start-response.js";
import { WorkerClient } from "../src/worker-client.js";

/** What a scripted worker answers. */
interface Script {
    readonly clock: ManualClock;
    /** Time that each heartbeat takes, on the clock. */
    readonly heartbeatMs?: number;
    /** Answer to the first heartbeat; later ones, and all without it, get none. */
    readonly heartbeat?: Result<HeartbeatResponse, OrderFailure>;
    /** Answers to the stop orders, in order; later ones get none. */
    readonly stops?: Result<void, OrderFailure>[];
}

/** The client of a worker whose answers are given by the test. */
export class ScriptedWorkerClient extends WorkerClient {
    private heartbeats = 0;

    private constructor(private readonly script: Script) {
        super();
    }

    static create(script: Script): ScriptedWorkerClient {
        return new ScriptedWorkerClient(script);
    }

    override start(): Promise<StartResponse> {
        return Promise.resolve({ outcome: StartOutcome.Unknown });
    }

    override stop(): Promise<Result<void, OrderFailure>> {
        return Promise.resolve(this.script.stops?.shift() ?? Err(OrderFailure.Unknown));
    }

    override pace(): Promise<Result<void, OrderFailure>> {
        return Promise.resolve(Err(OrderFailure.Unknown));
    }

    override heartbeat(): Promise<Result<HeartbeatResponse, OrderFailure>> {
        const { clock, heartbeat, heartbeatMs = 0 } = this.script;
        if (heartbeat === undefined || this.heartbeats > 0) {
            return new Promise(() => undefined);
        }
        this.heartbeats += 1;
        clock.advance(heartbeatMs);
        return Promise.resolve(heartbeat);
    }

    override close(): void {
        return;
    }
}
