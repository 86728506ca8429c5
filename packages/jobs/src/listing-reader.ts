import type { CrashSuspicions } from "./crash-suspicions.js";
import { EndKind } from "./end-kind.js";
import type { EndObserver } from "./end-observer.js";
import { EndReason } from "./end-reason.js";
import { findIgnoreReason } from "./find-ignore-reason.js";
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

/** Monotonic times of the request and of the arrival of a listing, and the wall-clock time of its arrival. */
interface ListingTimes {
    readonly sentAtMs: number;
    readonly nowMs: number;
    readonly wallMs: number;
}

/** Reconciles the recorded runs of a worker with the worker's listing. */
export class ListingReader {
    private constructor(
        private readonly jobs: JobRegistry,
        private readonly results: RunResults,
        private readonly suspicions: CrashSuspicions,
        private readonly observer: EndObserver,
    ) {}

    static create(
        jobs: JobRegistry,
        results: RunResults,
        suspicions: CrashSuspicions,
        observer: EndObserver,
    ): ListingReader {
        return new ListingReader(jobs, results, suspicions, observer);
    }

    read(worker: WorkerIncarnation, listing: WorkerListing, times: ListingTimes): void {
        this.readEnds(worker, listing.ended, times);
        const listed = new Set<string>();
        const orphanRuns = new Map<string, OrphanRun>();
        for (const listedRun of listing.running) {
            listed.add(listedRun.task);
            if (!this.readRunning(worker, listedRun, times)) {
                const existing = worker.orphanRuns.get(listedRun.task);
                const stopSentAtMs = existing?.number === listedRun.number ? existing.stopSentAtMs : 0;
                const reservation = this.jobs.reservationOfTask(listedRun.task);
                orphanRuns.set(listedRun.task, { number: listedRun.number, reservation, stopSentAtMs });
            }
        }
        worker.setOrphanRuns(orphanRuns);
        if (!listing.isPartial) {
            this.releaseMissing(worker, listed, times);
            this.releaseStoppedStarts(worker, times);
        }
        worker.hasListedRuns = true;
    }

    /** Applies the ends that were not read before. */
    readEnds(
        worker: WorkerIncarnation,
        ends: readonly ListedEnd[],
        times: Pick<ListingTimes, "nowMs" | "wallMs">,
    ): void {
        for (const end of [...ends].sort((a, b) => a.sequence - b.sequence)) {
            if (end.sequence > worker.lastReadEndSequence) {
                worker.lastReadEndSequence = end.sequence;
                this.readEnd(worker, end, times);
            }
        }
    }

    private readEnd(
        worker: WorkerIncarnation,
        listedEnd: ListedEnd,
        times: Pick<ListingTimes, "nowMs" | "wallMs">,
    ): void {
        const end = { ...listedEnd, reason: EndReason.Listed };
        const newestRun = worker.runs.get(end.task);
        const run = newestRun?.number === end.number ? newestRun : undefined;
        const task = run?.task ?? this.jobs.findListedTask(end.task);
        task?.noteStarted();
        this.reportIfIgnored(worker, listedEnd, task, run);
        if (run !== undefined) {
            this.results.finish(run, end, times);
            return;
        }
        if (task === undefined) {
            return;
        }
        // The end of a run that a previous owner started is applied unless the task has a later run. A later number may
        // be that of a start that was refused, so a task without a run is done whatever the number.
        if (task.run === undefined && (end.number >= task.lastRun || end.kind === EndKind.Done)) {
            task.lastRun = Math.max(task.lastRun, end.number);
            this.results.apply(task, worker, end, times);
        } else if (end.kind === EndKind.Failed) {
            // Workers are read in any order, so a failure may be listed after a later run; it still counts.
            this.results.countFailure(task, end.number, times.wallMs);
        } else if (end.kind === EndKind.Done) {
            this.results.completeByEarlierRun(task, times.wallMs);
        }
    }

    /** To be called before the end takes effect. */
    private reportIfIgnored(
        worker: WorkerIncarnation,
        end: ListedEnd,
        task: Task | undefined,
        run: Run | undefined,
    ): void {
        const reason = findIgnoreReason(this.jobs, end, task, run);
        if (reason !== undefined) {
            const lastRun = task?.lastRun === 0 ? undefined : task?.lastRun;
            this.observer.onIgnored?.(worker, { ...end, reason, currentRun: task?.run?.number ?? lastRun });
        }
    }

    /** Returns false for a run that belongs to no known task. */
    private readRunning(worker: WorkerIncarnation, listedRun: ListedRun, times: ListingTimes): boolean {
        const existing = worker.runs.get(listedRun.task);
        if (existing !== undefined) {
            existing.task.noteStarted();
            if (existing.number === listedRun.number) {
                this.confirm(existing, listedRun, times);
            }
            return existing.number === listedRun.number;
        }
        const task = this.jobs.findListedTask(listedRun.task);
        if (task !== undefined) {
            this.adopt(worker, task, listedRun, times);
        }
        return task !== undefined;
    }

    /** Adopts a run of a previous owner as the task's current run, unless the task is done or has a later run. */
    private adopt(worker: WorkerIncarnation, task: Task, listedRun: ListedRun, times: ListingTimes): void {
        const run = Run.create(task, worker, listedRun.number, times.nowMs);
        run.isAdopted = true;
        worker.add(run);
        const isWanted = task.run === undefined && !task.isDone && listedRun.number >= task.lastRun;
        if (isWanted) {
            task.setRun(run);
            task.lastRun = listedRun.number;
            task.readySinceMs = undefined;
        } else if (this.mayAdoptBeside(task)) {
            this.adoptBeside(task, run);
        } else {
            run.stopReason = StopReason.NotCurrent;
        }
        this.confirm(run, listedRun, times);
    }

    private confirm(run: Run, listedRun: ListedRun, times: ListingTimes): void {
        run.confirm(times.nowMs);
        run.isListed = true;
        this.suspicions.noteListed(run, times.nowMs);
        trackSpeed(run, listedRun, times.nowMs);
        run.gauge = listedRun.gauge;
        if (listedRun.checkpoint !== "" && run.task.isCurrent(run) && run.task.takesCheckpointOf(run)) {
            run.task.setCheckpoint(listedRun.checkpoint);
        }
    }

    /** Whether a task may have one more run than those known, whatever its number. */
    private mayAdoptBeside({ step, isDone, copy }: Task): boolean {
        const { speculative, gang, lasting, filler } = step.spec;
        return speculative && !gang && !lasting && !filler && !isDone && copy === undefined;
    }

    /** Adopts one of two runs that a previous owner left of a speculative task; the workers are read in any order. */
    private adoptBeside(task: Task, run: Run): void {
        task.lastRun = Math.max(task.lastRun, run.number);
        if (task.run === undefined) {
            task.setRun(run);
            task.readySinceMs = undefined;
        } else {
            task.copy = run;
            this.results.copies.adopt(run);
        }
    }

    /** Releases runs that are absent from a listing requested after their start or their stop was confirmed. */
    private releaseMissing(
        worker: WorkerIncarnation,
        listed: ReadonlySet<string>,
        times: ListingTimes,
    ): void {
        for (const run of [...worker.runs.values()]) {
            if (!listed.has(run.task.name) && this.hasEnded(run, times.sentAtMs)) {
                this.results.lapse(run, EndReason.Missing, times);
            }
        }
    }

    /**
     * Releases the tasks of late starts whose stop was confirmed before the listing was requested. The run may have ended
     * as done before the stop, which only this listing shows.
     */
    private releaseStoppedStarts(worker: WorkerIncarnation, times: ListingTimes): void {
        for (const [name, start] of worker.lateStarts) {
            const { stopConfirmedAtMs, isOver, run } = start;
            if (!isOver && stopConfirmedAtMs !== undefined && stopConfirmedAtMs < times.sentAtMs) {
                worker.setLateStart(name, { ...start, isOver: true });
                run.task.endWaitForLateStart(worker.entry.id);
            }
        }
    }

    private hasEnded(run: Run, sentAtMs: number): boolean {
        if (run.stopConfirmedAtMs > 0 && run.stopConfirmedAtMs < sentAtMs) {
            return true;
        }
        return run.phase === RunPhase.Running && run.confirmedAtMs < sentAtMs;
    }
}
