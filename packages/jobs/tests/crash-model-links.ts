import type { CellScheduler } from "../src/cell-scheduler.js";
import type { WorkerIncarnation } from "../src/worker-incarnation.js";
import type { CrashModelWorker } from "./crash-model-worker.js";
import { cellLimits } from "./fixtures/cell-limits.js";

/** Time between two listings of a worker, and the same while a task is on trial there. */
const ListingIntervalMs = 1_500;
const TrialListingIntervalMs = 200;
/** Time without an answer after which an owner takes a worker for unreachable. */
const SilenceMs = 2_200;

/** Sends the heartbeats of one owner. */
export class CrashModelLinks {
    /** Time of the last answer, or of the first call if there was none, by worker key. */
    private readonly lastAnswers = new Map<string, number>();

    private constructor(
        private readonly scheduler: CellScheduler,
        private readonly hasRealHeartbeats: boolean,
    ) {}

    static create(scheduler: CellScheduler, hasRealHeartbeats: boolean): CrashModelLinks {
        return new CrashModelLinks(scheduler, hasRealHeartbeats);
    }

    heartbeats(workers: readonly CrashModelWorker[], nowMs: number): void {
        for (const incarnation of [...this.scheduler.fleet.workers]) {
            const worker = workers.find(({ key }) => key === incarnation.key);
            if (worker?.answers(nowMs) === true) {
                if (this.isListingDue(incarnation, nowMs)) {
                    this.readListing(incarnation, worker, nowMs);
                }
            } else if (worker === undefined || this.isKnownAsSilent(worker, nowMs)) {
                this.scheduler.noteUnreachable(incarnation);
            }
        }
    }

    private readListing(incarnation: WorkerIncarnation, worker: CrashModelWorker, nowMs: number): void {
        this.lastAnswers.set(worker.key, nowMs);
        this.scheduler.noteLeaseExtension(incarnation);
        const deadlineMs = nowMs + cellLimits.leaseMs;
        const listing = worker.heartbeat(deadlineMs, incarnation.lastDurableEndSequence);
        this.scheduler.noteListing(incarnation, listing, nowMs);
    }

    private isListingDue({ key, isReachable, trialTask }: WorkerIncarnation, nowMs: number): boolean {
        const lastAnswerMs = this.lastAnswers.get(key);
        if (!this.hasRealHeartbeats || !isReachable || lastAnswerMs === undefined) {
            return true;
        }
        const intervalMs = trialTask === undefined ? ListingIntervalMs : TrialListingIntervalMs;
        return nowMs - lastAnswerMs >= intervalMs;
    }

    /** A call to a process that is gone fails at once, one to a machine that does not answer after a time. */
    private isKnownAsSilent({ key, isUp, isDark }: CrashModelWorker, nowMs: number): boolean {
        if (!this.hasRealHeartbeats || (!isUp && !isDark)) {
            return true;
        }
        const lastAnswerMs = this.lastAnswers.get(key);
        if (lastAnswerMs === undefined) {
            this.lastAnswers.set(key, nowMs);
        }
        return nowMs - (lastAnswerMs ?? nowMs) >= SilenceMs;
    }
}
