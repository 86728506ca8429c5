import { Resources } from "@samphireward/core/resources";
import { EndKind } from "../src/end-kind.js";
import type { ListedEnd } from "../src/listed-end.js";
import type { WorkerEntry } from "../src/worker-entry.js";
import { workerKey } from "../src/worker-key.js";
import type { WorkerListing } from "../src/worker-listing.js";

const Processors = 8;

/** A run on a model worker. */
interface ModelRun {
    readonly task: string;
    readonly number: number;
    /** Infinity for a lasting task, and for a gang of which not all members have started. */
    readonly endsAtMs: number;
}

/** One incarnation of a worker that lists its runs and ends, and that can crash or be cut off. */
export class CrashModelWorker {
    isUp = true;
    /** Calls to the worker stay without an answer once it has crashed; they are refused otherwise. */
    isDark = false;
    /** Time until which no call reaches it. */
    cutUntilMs = 0;
    readonly runs = new Map<string, ModelRun>();
    private ends: ListedEnd[] = [];
    private sequence = 0;
    private leaseEndsMs = 0;

    private constructor(readonly entry: WorkerEntry) {}

    static create(id: string, index: number, startedAtMs: number): CrashModelWorker {
        return new CrashModelWorker({
            id,
            startedAtMs,
            address: `10.0.0.${index}:1`,
            service: "desk",
            zone: "zone",
            rack: `r1-${Math.floor(index / 6)}`,
            labels: [],
            capacity: Resources.create({ processors: Processors, memoryMb: 64_000 }),
            isDraining: false,
        });
    }

    get key(): string {
        return workerKey(this.entry);
    }

    answers(nowMs: number): boolean {
        return this.isUp && nowMs >= this.cutUntilMs;
    }

    start(run: ModelRun, deadlineMs: number): void {
        this.runs.set(run.task, run);
        this.leaseEndsMs = Math.max(this.leaseEndsMs, deadlineMs);
    }

    stop(task: string, number: number): void {
        if (this.runs.get(task)?.number === number) {
            this.end(task, EndKind.Stopped);
        }
    }

    /** Ends the runs of a gang, by the prefix of its tasks' names. */
    breakGang(prefix: string, number: number): void {
        const members = [...this.runs.values()].filter(
            run => run.task.startsWith(prefix) && run.number === number,
        );
        members.forEach(({ task }) => this.end(task, EndKind.GangBroken));
    }

    /** Sets the time at which the runs of a gang are done, by the prefix of its tasks' names. */
    finishGang(prefix: string, number: number, endsAtMs: number): void {
        for (const run of [...this.runs.values()]) {
            if (run.task.startsWith(prefix) && run.number === number) {
                this.runs.set(run.task, { ...run, endsAtMs });
            }
        }
    }

    /** Renews the lease and acknowledges ends. */
    heartbeat(deadlineMs: number, durableEnd: number): WorkerListing {
        this.leaseEndsMs = Math.max(this.leaseEndsMs, deadlineMs);
        this.ends = this.ends.filter(end => end.sequence > durableEnd);
        const running = [...this.runs.values()].map(({ task, number }) => ({
            task,
            number,
            checkpoint: "",
            progressPercent: 50,
            gauge: 0,
        }));
        return { startedAtMs: this.entry.startedAtMs, running, ended: [...this.ends], isPartial: false };
    }

    /** Ends the runs that are done by now, and all runs once the lease has expired; returns the latter. */
    advance(nowMs: number): readonly ModelRun[] {
        const lapsed: ModelRun[] = [];
        for (const run of [...this.runs.values()]) {
            if (run.endsAtMs <= Math.min(nowMs, this.leaseEndsMs)) {
                this.end(run.task, EndKind.Done);
            } else if (nowMs > this.leaseEndsMs) {
                this.end(run.task, EndKind.Lapsed);
                lapsed.push(run);
            }
        }
        return lapsed;
    }

    private end(task: string, kind: EndKind): void {
        const run = this.runs.get(task);
        if (run !== undefined) {
            this.runs.delete(task);
            this.ends.push({ sequence: ++this.sequence, task, number: run.number, kind, checkpoint: "" });
        }
    }
}
