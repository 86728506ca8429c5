import { EndKind } from "@samphireward/jobs/end-kind";
import type { ListedEnd } from "@samphireward/jobs/listed-end";
import { StartOutcome } from "@samphireward/jobs/start-outcome";
import type { WorkerListing } from "@samphireward/jobs/worker-listing";
import type { HeartbeatRequest } from "../src/heartbeat-request.js";

/** Rate of the worker's clock. */
const ClockRate = 0.98;

/** A run on the worker; `endsAtMs` is a time of the model. */
interface ModelRun {
    readonly task: string;
    readonly number: number;
    readonly endsAtMs: number;
}

/** A start order as the worker receives it; `deadlineMs` is a time on the worker's clock. */
interface ModelStart extends ModelRun {
    readonly token: number;
    readonly deadlineMs: number;
}

/** Callbacks for the checker. */
interface WorkerObserver {
    /** Called before a run starts. */
    readonly onStart: (task: string, nowMs: number) => void;
    readonly onDone: (end: ModelEnd) => void;
    readonly onAcknowledged: (end: ModelEnd) => void;
}

/** The end of a run, with what the checker has to know about it. */
interface ModelEnd extends ListedEnd {
    /** Whether the worker's lease ran out between the end and its acknowledgement. */
    hasLapsed: boolean;
}

/** Model of a worker whose clock is slow. All times in milliseconds; `nowMs` is the time of the model. */
export class LeaseModelWorker {
    readonly runs = new Map<string, ModelRun>();
    isUp = true;
    /** Start of the current incarnation. */
    startedAtMs: number;
    private readonly highestRunNumbers = new Map<string, number>();
    private ends: ModelEnd[] = [];
    private sequence = 0;
    private leaseEndsAtMs = 0;
    private fencingToken = 0;
    private readonly starts: number[];

    private constructor(
        readonly id: string,
        nowMs: number,
        private readonly maxLeaseMs: number,
        private readonly observer: WorkerObserver,
    ) {
        this.startedAtMs = nowMs;
        this.starts = [nowMs];
    }

    static create(id: string, nowMs: number, maxLeaseMs: number, observer: WorkerObserver): LeaseModelWorker {
        return new LeaseModelWorker(id, nowMs, maxLeaseMs, observer);
    }

    /** Ends the incarnation with all that it runs and knows. */
    shutDown(nowMs: number): void {
        this.advance(nowMs);
        this.isUp = false;
        this.runs.clear();
        this.highestRunNumbers.clear();
        this.ends = [];
        this.sequence = 0;
        this.leaseEndsAtMs = 0;
        this.fencingToken = 0;
    }

    /** Begins the next incarnation, whose clock starts anew. */
    startUp(nowMs: number): void {
        this.isUp = true;
        this.startedAtMs = nowMs;
        this.starts.push(nowMs);
    }

    /** Start of the incarnation that was running at a time. */
    startedAtAsOf(nowMs: number): number {
        return this.starts.findLast(startedAtMs => startedAtMs <= nowMs) ?? 0;
    }

    clockMs(nowMs: number): number {
        return Math.floor((nowMs - this.startedAtMs) * ClockRate);
    }

    /** Whether a call with this token is carried out: the worker refuses those of earlier owners. */
    admits(token: number): boolean {
        this.fencingToken = Math.max(this.fencingToken, token);
        return token === this.fencingToken;
    }

    start({ deadlineMs, token, ...run }: ModelStart, nowMs: number): StartOutcome {
        this.advance(nowMs);
        if (!this.admits(token)) {
            return StartOutcome.Fenced;
        }
        if (this.runs.get(run.task)?.number === run.number) {
            return StartOutcome.Started;
        }
        if (deadlineMs < this.clockMs(nowMs)) {
            return StartOutcome.Refused;
        }
        this.extendLease(deadlineMs, nowMs);
        if (this.refuses(run.task, run.number)) {
            return StartOutcome.RunNumberUsed;
        }
        this.highestRunNumbers.set(run.task, run.number);
        this.observer.onStart(run.task, nowMs);
        this.runs.set(run.task, run);
        return StartOutcome.Started;
    }

    /** Whether a start of this run would be rejected for its number. */
    refuses(task: string, number: number): boolean {
        return number <= (this.highestRunNumbers.get(task) ?? 0);
    }

    stop(task: string, number: number, nowMs: number): void {
        this.advance(nowMs);
        this.highestRunNumbers.set(task, Math.max(number, this.highestRunNumbers.get(task) ?? 0));
        if (this.runs.get(task)?.number === number) {
            this.end(task, EndKind.Stopped);
        }
    }

    /** Carries out the request's acknowledgement and extension of the lease. */
    heartbeat({ lastDurableEndSequence, deadlineMs }: HeartbeatRequest, nowMs: number): void {
        this.advance(nowMs);
        if (deadlineMs !== undefined) {
            this.extendLease(deadlineMs, nowMs);
        }
        this.ends
            .filter(({ sequence }) => sequence <= lastDurableEndSequence)
            .forEach(end => this.observer.onAcknowledged(end));
        this.ends = this.ends.filter(({ sequence }) => sequence > lastDurableEndSequence);
    }

    listing(nowMs: number): WorkerListing {
        this.advance(nowMs);
        const running = [...this.runs.values()].map(({ task, number }) => ({
            task,
            number,
            checkpoint: "",
            progressPercent: 50,
            gauge: 0,
        }));
        return { startedAtMs: this.startedAtMs, running, ended: [...this.ends], isPartial: false };
    }

    /** Ends the runs that are done by now, and all runs once the lease is over. */
    advance(nowMs: number): void {
        const leaseEndsAtModelMs = this.startedAtMs + this.leaseEndsAtMs / ClockRate;
        for (const run of [...this.runs.values()]) {
            if (run.endsAtMs <= Math.min(nowMs, leaseEndsAtModelMs)) {
                this.end(run.task, EndKind.Done);
            }
        }
        if (nowMs > leaseEndsAtModelMs) {
            this.ends.forEach(end => (end.hasLapsed = true));
            [...this.runs.keys()].forEach(task => this.end(task, EndKind.Lapsed));
        }
    }

    private extendLease(deadlineMs: number, nowMs: number): void {
        const cappedMs = Math.min(deadlineMs, this.clockMs(nowMs) + this.maxLeaseMs);
        this.leaseEndsAtMs = Math.max(this.leaseEndsAtMs, cappedMs);
    }

    private end(task: string, kind: EndKind): void {
        const run = this.runs.get(task);
        if (run === undefined) {
            return;
        }
        this.runs.delete(task);
        const end: ModelEnd = {
            sequence: ++this.sequence,
            task,
            number: run.number,
            kind,
            checkpoint: "",
            hasLapsed: false,
        };
        this.ends.push(end);
        if (kind === EndKind.Done) {
            this.observer.onDone(end);
        }
    }
}
