import type { EndKind } from "../src/end-kind.js";
import type { ListedEnd } from "../src/listed-end.js";
import type { ListedRun } from "../src/listed-run.js";
import { StartOutcome } from "../src/start-outcome.js";
import type { ModelRun } from "./model-run.js";

const progressPercent = ({ startedAtMs, endsAtMs }: ModelRun, nowMs: number): number =>
    startedAtMs === undefined ? 50 : (100 * (nowMs - startedAtMs)) / (endsAtMs - startedAtMs);

/** Model of the worker contract: fencing tokens, run numbers, a lease, ends listed until acknowledged. */
export class ModelWorker {
    readonly running = new Map<string, ModelRun>();
    private readonly highestRunNumbers = new Map<string, number>();
    private ends: ListedEnd[] = [];
    private sequence = 0;
    private token = 0;
    private leaseEndsMs = 0;

    private constructor(
        readonly id: string,
        readonly startedAtMs: number,
        /** Called for each start before it takes effect, for each end, and for each end that is acknowledged. */
        private readonly observer: {
            readonly onStart: (worker: ModelWorker, run: ModelRun) => void;
            readonly onEnded?: (end: ListedEnd) => void;
            readonly onAcknowledged: (end: ListedEnd) => void;
        },
    ) {}

    static create(id: string, startedAtMs: number, observer: ModelWorker["observer"]): ModelWorker {
        return new ModelWorker(id, startedAtMs, observer);
    }

    start(run: ModelRun, token: number, deadlineMs: number, nowMs: number): StartOutcome {
        this.advance(nowMs);
        if (token < this.token) {
            return StartOutcome.Fenced;
        }
        this.token = token;
        if (this.running.get(run.task)?.number === run.number) {
            return StartOutcome.Started;
        }
        if (run.number <= (this.highestRunNumbers.get(run.task) ?? 0)) {
            return StartOutcome.RunNumberUsed;
        }
        if (deadlineMs < nowMs) {
            return StartOutcome.Refused;
        }
        this.leaseEndsMs = Math.max(this.leaseEndsMs, deadlineMs);
        this.highestRunNumbers.set(run.task, run.number);
        this.observer.onStart(this, run);
        this.running.set(run.task, run);
        return StartOutcome.Started;
    }

    /** Returns false if the token is too low. */
    stop(task: string, number: number, token: number, nowMs: number): boolean {
        this.advance(nowMs);
        if (token < this.token) {
            return false;
        }
        this.token = token;
        this.highestRunNumbers.set(task, Math.max(number, this.highestRunNumbers.get(task) ?? 0));
        if (this.running.get(task)?.number === number) {
            this.end(task, "stopped");
        }
        return true;
    }

    /** Renews the lease and returns the listing; undefined if the token is too low. */
    heartbeat(
        token: number,
        durableEnd: number,
        deadlineMs: number | undefined,
        nowMs: number,
    ): { readonly running: ListedRun[]; readonly ended: ListedEnd[] } | undefined {
        this.advance(nowMs);
        if (token < this.token) {
            return undefined;
        }
        this.token = token;
        this.leaseEndsMs = Math.max(this.leaseEndsMs, deadlineMs ?? 0);
        this.ends.filter(end => end.sequence <= durableEnd).forEach(end => this.observer.onAcknowledged(end));
        this.ends = this.ends.filter(end => end.sequence > durableEnd);
        const running = [...this.running.values()].map(run => ({
            task: run.task,
            number: run.number,
            checkpoint: "",
            progressPercent: progressPercent(run, nowMs),
            gauge: 0,
        }));
        return { running, ended: [...this.ends] };
    }

    /** Ends the runs that are done by now, and all runs once the lease has expired. */
    advance(nowMs: number): void {
        const isLapsed = nowMs > this.leaseEndsMs;
        for (const run of [...this.running.values()]) {
            if (run.endsAtMs <= Math.min(nowMs, this.leaseEndsMs)) {
                this.end(run.task, run.endKind ?? "done");
            } else if (isLapsed) {
                this.end(run.task, "lapsed");
            }
        }
    }

    private end(task: string, kind: EndKind): void {
        const run = this.running.get(task);
        if (run !== undefined) {
            this.running.delete(task);
            const { number } = run;
            const end = { sequence: ++this.sequence, task, number, kind, checkpoint: "" };
            this.ends.push(end);
            this.observer.onEnded?.(end);
        }
    }
}
