import type { Clock } from "@samphireward/core/clock";
import type { CellScheduler } from "@samphireward/jobs/cell-scheduler";
import { describeJobFailure } from "@samphireward/jobs/describe-job-failure";
import type { Job } from "@samphireward/jobs/job";
import { readProgress } from "@samphireward/jobs/read-progress";
import { unstoredTrials } from "@samphireward/jobs/unstored-trials";
import { cellKeys } from "./cell-keys.js";
import type { CommitLog } from "./commit-log.js";
import type { EventLog } from "./event-log.js";
import { jobCodec } from "./job-codec.js";
import type { Metrics } from "./metrics.js";
import { sleep } from "./sleep.js";
import type { StoreWrite } from "./store-write.js";
import { withoutCheckpoints } from "./without-checkpoints.js";

/** Minimum time between two commits of progress. */
const CommitIntervalMs = 80;
/** Maximum number of jobs in one commit; a transaction holds at most 32 entries. */
const MaxJobsPerCommit = 30;
/** The platform's store takes values of 1 MiB. It would refuse a larger one, and the cell's commits, for good. */
const MaxValueBytes = 1_000_000;
const EffectsIntervalMs = 2_500;
/** Time after its end for which a job is kept, so that its final state can be queried. */
const EndedRetentionMs = 10 * 60_000;
const CleanupIntervalMs = 30_000;

/** Dependencies provided by the cell's owner. */
interface WriterContext {
    readonly cell: number;
    readonly scheduler: CellScheduler;
    readonly commits: CommitLog;
    readonly clock: Clock;
    readonly log: EventLog;
    readonly metrics: Metrics;
    readonly onLost: (reason: string) => void;
}

/** Stores the progress of a cell's jobs. Ends are acknowledged and final states reported only once they are durable. */
export class ProgressWriter {
    private isStopped = false;
    /** Whether changes were lost with a failed commit, so that no later write covers all ends that were read. */
    private hasLostChanges = false;
    private lastWrite: Promise<void> = Promise.resolve();
    /** Jobs that the last cleanup removed from the store. */
    private removedIds: readonly string[] = [];

    private constructor(private readonly context: WriterContext) {}

    static create(context: WriterContext): ProgressWriter {
        return new ProgressWriter(context);
    }

    /** Writes at intervals until the signal aborts. */
    async run(signal: AbortSignal): Promise<void> {
        signal.addEventListener("abort", () => (this.isStopped = true), { once: true });
        await Promise.all([
            this.repeat(CommitIntervalMs, signal, () => this.writeProgress()),
            this.repeat(EffectsIntervalMs, signal, () => this.writeEffects()),
            this.repeat(CleanupIntervalMs, signal, () => this.removeExpiredJobs()),
        ]);
    }

    /** Writes all changes now. */
    async flush(): Promise<void> {
        await Promise.all([this.writeProgress(), this.writeEffects()]);
    }

    private async repeat(intervalMs: number, signal: AbortSignal, write: () => Promise<void>): Promise<void> {
        while (!signal.aborted) {
            await sleep(intervalMs, signal);
            if (!signal.aborted) {
                await write();
            }
        }
    }

    /**
     * Serializes the writes: ends that are part of an unfinished write must not count as durable before it completes.
     */
    private writeProgress(): Promise<void> {
        this.lastWrite = this.lastWrite.then(() => this.writeChangedJobs());
        return this.lastWrite;
    }

    private async writeChangedJobs(): Promise<void> {
        const { scheduler } = this.context;
        if (this.hasLostChanges) {
            return;
        }
        const lastReadEnds = [...scheduler.fleet.workers].map(worker => ({
            worker,
            end: worker.lastReadEndSequence,
        }));
        const changed = scheduler.jobs.takeChanged();
        for (let first = 0; first < changed.length; first += MaxJobsPerCommit) {
            const jobs = changed.slice(first, first + MaxJobsPerCommit);
            const ends = jobs.map(job => job.endState);
            const trials = jobs.flatMap(unstoredTrials);
            if (!(await this.commit(jobs.map(job => this.encodeProgress(job))))) {
                this.hasLostChanges = true;
                return;
            }
            trials.forEach(trial => (trial.isStored = true));
            jobs.forEach((job, index) => this.publishEnd(job, ends[index]));
        }
        for (const { worker, end } of lastReadEnds) {
            worker.lastDurableEndSequence = Math.max(worker.lastDurableEndSequence, end);
        }
    }

    /** Effects that are too large for a value, by the length of the images' names, are left to the next owner to learn. */
    private async writeEffects(): Promise<void> {
        const { cell, scheduler, log } = this.context;
        const value = JSON.stringify(scheduler.effects.snapshot());
        const bytes = Buffer.byteLength(value);
        if (bytes > MaxValueBytes) {
            log.write("effects-omitted", { cell, bytes });
            return;
        }
        await this.commit([{ key: cellKeys.effects(cell), value }]);
    }

    /**
     * Removes expired jobs from the store, and from memory one interval later. A read of all input that began before the
     * removal would otherwise add them again, without their progress.
     */
    private async removeExpiredJobs(): Promise<void> {
        const { clock, cell } = this.context;
        const { jobs } = this.context.scheduler;
        this.removedIds.forEach(id => jobs.remove(id));
        this.removedIds = [];
        const expiredIds = jobs.idsEndedBefore(clock.wallMs() - EndedRetentionMs);
        for (const id of expiredIds) {
            const keys = [
                cellKeys.job(cell, id),
                cellKeys.cancellation(cell, id),
                cellKeys.progress(cell, id),
            ];
            if (!(await this.commit([], keys))) {
                return;
            }
        }
        this.removedIds = expiredIds;
    }

    private async commit(writes: readonly StoreWrite[], removes: readonly string[] = []): Promise<boolean> {
        const result = await this.context.commits.commit({ writes, removes });
        if (result.isErr() && !this.isStopped) {
            this.context.onLost("the log belongs to another owner");
        }
        return result.isOk();
    }

    private encodeProgress(job: Job): StoreWrite {
        const { cell, log } = this.context;
        const key = cellKeys.progress(cell, job.spec.id);
        const progress = readProgress(job);
        const value = jobCodec.encodeProgress(progress);
        const bytes = Buffer.byteLength(value);
        if (bytes <= MaxValueBytes) {
            return { key, value };
        }
        log.write("checkpoints-omitted", { cell, job: job.spec.id, bytes });
        return { key, value: jobCodec.encodeProgress(withoutCheckpoints(progress)) };
    }

    private publishEnd(job: Job, end: Job["endState"]): void {
        if (end === undefined || job.storedEndState !== undefined) {
            return;
        }
        job.storedEndState = end;
        const { metrics, clock, log } = this.context;
        const { id, queue, arrivedAtMs } = job.spec;
        const ageMs = clock.wallMs() - arrivedAtMs;
        metrics.jobsEnded.inc({ queue, state: end });
        metrics.jobSeconds.observe({ queue }, ageMs / 1_000);
        const { endReason: reason, failure } = job;
        if (failure !== undefined) {
            metrics.jobsFailed.inc({ cause: failure.cause });
        }
        const cause = failure && describeJobFailure(failure);
        log.write("job-ended", { job: id, queue, state: end, reason, cause, ageMs: Math.round(ageMs) });
    }
}
