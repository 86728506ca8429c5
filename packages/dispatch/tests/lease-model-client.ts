import type { Run } from "@samphireward/jobs/run";
import { StartOutcome } from "@samphireward/jobs/start-outcome";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import type { HeartbeatRequest } from "../src/heartbeat-request.js";
import type { HeartbeatResponse } from "../src/heartbeat-response.js";
import { OrderFailure } from "../src/order-failure.js";
import { WorkerClient } from "../src/worker-client.js";
import type { LeaseModelNetwork } from "./lease-model-network.js";
import type { LeaseModelWorker } from "./lease-model-worker.js";

const OrderTimeoutMs = 1_000;
const HeartbeatSlackMs = 800;

/** Sends the orders of a link to a worker of the model. The worker's address stays the same when it restarts. */
export class LeaseModelClient extends WorkerClient {
    private constructor(
        private readonly worker: LeaseModelWorker,
        private readonly network: LeaseModelNetwork,
    ) {
        super();
    }

    static create(worker: LeaseModelWorker, network: LeaseModelNetwork): LeaseModelClient {
        return new LeaseModelClient(worker, network);
    }

    override async start(run: Run, token: number, deadlineMs: number): Promise<StartOutcome> {
        const { worker } = this;
        const { startedAtMs } = worker;
        const workMs = Number(run.task.step.occurrence.job.spec.payload);
        let outcome: StartOutcome | undefined;
        const response = await this.network.call(worker, {
            timeoutMs: OrderTimeoutMs,
            execute: (nowMs, isLate) => {
                // A late start that runs in a later incarnation before a stop has arrived there is a known gap of the
                // contract (docs/PROOFS.md).
                const isOpenGap = isLate && worker.startedAtMs !== startedAtMs;
                if (!isOpenGap || worker.refuses(run.task.name, run.number)) {
                    const order = { task: run.task.name, number: run.number, token, deadlineMs };
                    outcome = worker.start({ ...order, endsAtMs: nowMs + workMs }, nowMs);
                }
            },
            respond: () => outcome,
        });
        return response ?? StartOutcome.Unknown;
    }

    override async stop(task: string, number: number): Promise<Result<void, OrderFailure>> {
        const response = await this.network.call(this.worker, {
            timeoutMs: OrderTimeoutMs,
            execute: nowMs => this.worker.stop(task, number, nowMs),
            respond: () => true,
        });
        return response === undefined ? Err(OrderFailure.Unknown) : Ok(undefined);
    }

    override pace(): Promise<Result<void, OrderFailure>> {
        return Promise.resolve(Ok(undefined));
    }

    override async heartbeat(req: HeartbeatRequest): Promise<Result<HeartbeatResponse, OrderFailure>> {
        const { worker } = this;
        const { startedAtMs } = worker;
        let untilMs = 0;
        const response = await this.network.call<HeartbeatResponse>(worker, {
            timeoutMs: req.waitMs + HeartbeatSlackMs,
            execute: (nowMs, isLate) => {
                // docs/questions.md: a late heartbeat is not carried out in a later incarnation.
                if (!isLate || worker.startedAtMs === startedAtMs) {
                    worker.heartbeat(req, nowMs);
                }
                untilMs = nowMs + req.waitMs;
            },
            respond: nowMs => {
                const listing = worker.listing(nowMs);
                return nowMs < untilMs && listing.ended.length === 0
                    ? undefined
                    : {
                          listing: { ...listing, startedAtMs: listing.startedAtMs + 1 },
                          clockMs: worker.clockMs(nowMs),
                      };
            },
        });
        return response === undefined ? Err(OrderFailure.Unknown) : Ok(response);
    }

    override close(): void {
        return;
    }
}
