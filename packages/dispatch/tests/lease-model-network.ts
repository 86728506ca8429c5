import type { SeededRandom } from "@samphireward/core/seeded-random";
import type { LeaseModelCall } from "./lease-model-call.js";
import type { LeaseModelWorker } from "./lease-model-worker.js";

const LatencyMs = 40;
const SlowLatencyMs = 3_000;
const SlowShare = 0.02;
const MinLateMs = 300;
const MaxLateMs = 10_000;
const PollMs = 50;
/** Share of the calls to a worker that is down whose connection is refused. */
const RefusedShare = 0.5;

/** Carries calls to workers with random delays and losses. */
export class LeaseModelNetwork {
    private nowMs = 0;
    private readonly events: { readonly atMs: number; readonly run: () => void }[] = [];
    private readonly responses: (() => void)[] = [];
    private readonly cutWorkers = new Set<LeaseModelWorker>();

    private constructor(
        private readonly random: SeededRandom,
        private readonly faultRate: number,
    ) {}

    static create(random: SeededRandom, faultRate: number): LeaseModelNetwork {
        return new LeaseModelNetwork(random, faultRate);
    }

    setCut(worker: LeaseModelWorker, isCut: boolean): void {
        if (isCut) {
            this.cutWorkers.add(worker);
        } else {
            this.cutWorkers.delete(worker);
        }
    }

    /** Resolves to undefined if no response arrives in time. */
    call<T>(
        worker: LeaseModelWorker,
        { timeoutMs, execute, respond }: LeaseModelCall<T>,
    ): Promise<T | undefined> {
        return new Promise(resolve => {
            const timer = setTimeout(() => resolve(undefined), timeoutMs);
            const draw = this.random.next() / this.faultRate;
            if (draw < 1) {
                return;
            }
            if (draw < 2) {
                this.at(MinLateMs + this.random.next() * MaxLateMs, () => {
                    if (worker.isUp) {
                        execute(this.nowMs, true);
                    }
                });
                return;
            }
            const isResponseLost = draw < 3;
            const { startedAtMs } = worker;
            this.at(this.latencyMs(), () => {
                if (this.cutWorkers.has(worker)) {
                    return;
                }
                if (!worker.isUp) {
                    this.refuse(() => {
                        clearTimeout(timer);
                        resolve(undefined);
                    });
                    return;
                }
                if (worker.startedAtMs !== startedAtMs) {
                    // The connection ended with the incarnation.
                    execute(this.nowMs, true);
                    return;
                }
                execute(this.nowMs, false);
                this.awaitResponse(worker, startedAtMs, respond, response => {
                    if (!isResponseLost) {
                        clearTimeout(timer);
                        resolve(response);
                    }
                });
            });
        });
    }

    /** Delivers what has arrived at the workers by now. */
    deliver(nowMs: number): void {
        this.nowMs = nowMs;
        const due = this.events.filter(({ atMs }) => atMs <= nowMs);
        due.forEach(event => {
            this.events.splice(this.events.indexOf(event), 1);
            event.run();
        });
    }

    /** Delivers the responses that have arrived at the owner. */
    deliverResponses(): void {
        this.responses.splice(0).forEach(run => run());
    }

    private awaitResponse<T>(
        worker: LeaseModelWorker,
        startedAtMs: number,
        respond: (nowMs: number) => T | undefined,
        onResponse: (response: T) => void,
    ): void {
        if (!worker.isUp || worker.startedAtMs !== startedAtMs) {
            return;
        }
        const response = respond(this.nowMs);
        if (response === undefined) {
            this.at(PollMs, () => this.awaitResponse(worker, startedAtMs, respond, onResponse));
            return;
        }
        this.at(this.latencyMs(), () => {
            if (!this.cutWorkers.has(worker)) {
                this.responses.push(() => onResponse(response));
            }
        });
    }

    /** A worker that is down refuses the connection or leaves it unanswered. */
    private refuse(onRefused: () => void): void {
        if (this.random.next() < RefusedShare) {
            this.at(this.latencyMs(), () => this.responses.push(onRefused));
        }
    }

    private latencyMs(): number {
        const isSlow = this.random.next() < SlowShare;
        return this.random.next() * (isSlow ? SlowLatencyMs : LatencyMs);
    }

    private at(delayMs: number, run: () => void): void {
        this.events.push({ atMs: this.nowMs + delayMs, run });
    }
}
