import { EndKind } from "./end-kind.js";
import type { JobRegistry } from "./job-registry.js";
import type { ListedEnd } from "./listed-end.js";
import type { ListedRun } from "./listed-run.js";
import { Run } from "./run.js";
import { RunPhase } from "./run-phase.js";
import type { RunResults } from "./run-results.js";
import { StopReason } from "./stop-reason.js";
import type { OrphanRun } from "./orphan-run.js";
import type { Task } from "./task.js";
import { trackSpeed } from "./track-speed.js";
import type { WorkerIncarnation } from "./worker-incarnation.js";
import type { WorkerListing } from "./worker-listing.js";

/** When a listing was asked for and when it arrived, on the monotonic clock, and the wall time of its arrival. */
interface ListingTimes {
    readonly sentAtMs: number;
    readonly nowMs: number;
    readonly wallMs: number;
}

/** Brings a worker's record into line with what the worker lists. */
export class ListingReader {
    private constructor(
        private readonly book: JobRegistry,
        private readonly results: RunResults,
    ) {}

    static create(book: JobRegistry, results: RunResults): ListingReader {
        return new ListingReader(book, results);
    }

    read(life: WorkerIncarnation, listing: WorkerListing, times: ListingTimes): void {
        for (const end of listing.ended) {
            if (end.sequence > life.lastReadEndSequence) {
                life.lastReadEndSequence = end.sequence;
                this.readEnd(life, end, times);
            }
        }
        const listed = new Set<string>();
        const strays = new Map<string, OrphanRun>();
        for (const row of listing.running) {
            listed.add(row.task);
            if (!this.readRunning(life, row, times)) {
                const known = life.orphanRuns.get(row.task);
                const stopSentAtMs = known?.number === row.number ? known.stopSentAtMs : 0;
                const held = this.book.reservationOfTask(row.task);
                strays.set(row.task, { number: row.number, reservation: held, stopSentAtMs });
            }
        }
        life.orphanRuns = strays;
        if (!listing.isPartial) {
            this.releaseMissing(life, listed, times);
        }
        life.hasListedRuns = true;
    }

    private readEnd(life: WorkerIncarnation, end: ListedEnd, times: ListingTimes): void {
        const run = life.runs.get(end.task);
        if (run?.number === end.number) {
            this.results.finish(run, end, times);
            return;
        }
        const task = this.book.findTask(end.task);
        if (task === undefined) {
            return;
        }
        // The end of a run of an earlier owner counts while no later run of the task exists.
        if (task.run === undefined && end.number >= task.lastRun) {
            task.lastRun = end.number;
            this.results.apply(task, life, end, times);
        } else if (end.kind === EndKind.Failed) {
            // Workers are read in any order: an earlier failure counts against the attempts all the same.
            this.results.countFailure(task, end.number, times.wallMs);
        }
    }

    /** Returns false for a run that belongs to no task here. */
    private readRunning(life: WorkerIncarnation, row: ListedRun, times: ListingTimes): boolean {
        const known = life.runs.get(row.task);
        if (known !== undefined) {
            if (known.number === row.number) {
                this.confirm(known, row, times);
            }
            return known.number === row.number;
        }
        const task = this.book.findTask(row.task);
        if (task !== undefined) {
            this.adopt(life, task, row, times);
        }
        return task !== undefined;
    }

    /** A run that an earlier owner started: the task's current one, unless a later one exists or it has ended. */
    private adopt(life: WorkerIncarnation, task: Task, row: ListedRun, times: ListingTimes): void {
        const run = Run.create(task, life, row.number, times.nowMs);
        life.add(run);
        const isWanted = task.run === undefined && !task.isDone && row.number >= task.lastRun;
        if (isWanted) {
            task.run = run;
            task.lastRun = row.number;
            task.step.occurrence.job.hasStarted = true;
        } else {
            run.stopReason = StopReason.NotCurrent;
        }
        this.confirm(run, row, times);
    }

    private confirm(run: Run, row: ListedRun, times: ListingTimes): void {
        run.confirm(times.nowMs);
        trackSpeed(run, row, times.nowMs);
        run.gauge = row.gauge;
        if (row.checkpoint !== "" && run.task.run === run) {
            run.task.checkpoint = row.checkpoint;
        }
    }

    /** Releases runs that a listing asked for after their confirmation, or after their stop, does not show. */
    private releaseMissing(life: WorkerIncarnation, listed: ReadonlySet<string>, times: ListingTimes): void {
        for (const run of [...life.runs.values()]) {
            if (!listed.has(run.task.name) && this.isSettled(run, times.sentAtMs)) {
                this.results.lapse(run, times);
            }
        }
    }

    private isSettled(run: Run, sentAtMs: number): boolean {
        if (run.stopConfirmedAtMs > 0 && run.stopConfirmedAtMs < sentAtMs) {
            return true;
        }
        return run.phase === RunPhase.Running && run.confirmedAtMs < sentAtMs;
    }
}
