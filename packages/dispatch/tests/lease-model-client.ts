import type { Run } from "@samphireward/jobs/run";
import { StartOutcome } from "@samphireward/jobs/start-outcome";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import type { HeartbeatRequest } from "../src/heartbeat-request.js";
import type { HeartbeatResponse } from "../src/heartbeat-response.js";
import { OrderFailure } from "../src/order-failure.js";
import { sleep } from "../src/sleep.js";
import type { StartResponse } from "../src/start-response.js";
import { WorkerClient } from "../src/worker-client.js";
import type { LeaseModelCall } from "./lease-model-call.js";
import type { LeaseModelNetwork } from "./lease-model-network.js";
import type { LeaseModelWorker } from "./lease-model-worker.js";

const OrderTimeoutMs = 1_000;
const HeartbeatSlackMs = 800;

/** Sends the orders of a link to a worker of the model. The worker's address stays the same when it restarts. */
export class LeaseModelClient extends WorkerClient {
    private constructor(
        private readonly worker: LeaseModelWorker,
        private readonly network: LeaseModelNetwork,
        private readonly intendedStartMs: number | undefined,
        private readonly isCutOff: () => boolean,
        private readonly onStart: (run: Run) => void,
    ) {
        super();
    }

    /**
     * `intendedStartMs` is the start of the incarnation for which orders are meant; if it is undefined, that of the one
     * which is there when they are sent. `isCutOff` tells whether this owner alone has no path to the worker; `onStart` is
     * called when a start is ordered.
     */
    static create(
        worker: LeaseModelWorker,
        network: LeaseModelNetwork,
        intendedStartMs?: number,
        isCutOff = (): boolean => false,
        onStart: (run: Run) => void = () => undefined,
    ): LeaseModelClient {
        return new LeaseModelClient(worker, network, intendedStartMs, isCutOff, onStart);
    }

    override async start(run: Run, token: number, deadlineMs: number): Promise<StartResponse> {
        this.onStart(run);
        const { worker } = this;
        const startedAtMs = this.intendedStartMs ?? worker.startedAtMs;
        const workMs = Number(run.task.step.occurrence.job.spec.payload);
        let outcome: StartOutcome | undefined;
        const response = await this.call<StartResponse>({
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
            respond: nowMs => outcome && { outcome, clockMs: worker.clockMs(nowMs) },
        });
        return response ?? { outcome: StartOutcome.Unknown };
    }

    override async stop(task: string, number: number, token: number): Promise<Result<void, OrderFailure>> {
        const { worker } = this;
        let isFenced = false;
        const response = await this.call({
            timeoutMs: OrderTimeoutMs,
            execute: nowMs => {
                isFenced = !worker.admits(token);
                if (!isFenced) {
                    worker.stop(task, number, nowMs);
                }
            },
            respond: () => true,
        });
        if (response === undefined) {
            return Err(OrderFailure.Unknown);
        }
        return isFenced ? Err(OrderFailure.Fenced) : Ok(undefined);
    }

    override pace(): Promise<Result<void, OrderFailure>> {
        return Promise.resolve(Ok(undefined));
    }

    override async heartbeat(req: HeartbeatRequest): Promise<Result<HeartbeatResponse, OrderFailure>> {
        const { worker } = this;
        const { startedAtMs } = worker;
        let untilMs = 0;
        let isFenced = false;
        const response = await this.call<HeartbeatResponse>({
            timeoutMs: req.waitMs + HeartbeatSlackMs,
            execute: (nowMs, isLate) => {
                // docs/questions.md: a late heartbeat is not carried out in a later incarnation.
                if (!isLate || worker.startedAtMs === startedAtMs) {
                    isFenced = !worker.admits(req.fencingToken);
                    if (!isFenced) {
                        worker.heartbeat(req, nowMs);
                    }
                }
                untilMs = isFenced ? nowMs : nowMs + req.waitMs;
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
        if (response === undefined) {
            return Err(OrderFailure.Unknown);
        }
        return isFenced ? Err(OrderFailure.Fenced) : Ok(response);
    }

    override close(): void {
        return;
    }

    /** Carries a call to the worker, unless this owner is cut off from it when the call is sent. */
    private async call<T>(call: LeaseModelCall<T>): Promise<T | undefined> {
        if (this.isCutOff()) {
            await sleep(call.timeoutMs);
            return undefined;
        }
        return this.network.call(this.worker, call);
    }
}
