import { Resources } from "@samphireward/core/resources";
import type { LateStart } from "./late-start.js";
import type { Run } from "./run.js";
import type { Task } from "./task.js";
import type { OrphanRun } from "./orphan-run.js";
import type { WorkerEntry } from "./worker-entry.js";

/** Capacity freed by a serving task is kept for compatible serving images for this long. */
const SameImagesOnlyMs = 1_200;
/** Minimum time between two such periods. */
const SameImagesPauseMs = 800;

/** One incarnation of a worker, from its start to its end, with the runs that it may hold. */
export class WorkerIncarnation {
    /** Runs by task name, including those being stopped. */
    readonly runs = new Map<string, Run>();
    /** Listed runs that belong to no known task, by task name, until a listing no longer shows them. */
    orphanRuns: ReadonlyMap<string, OrphanRun> = new Map();
    /** Unanswered starts that this incarnation may still carry out, by task name. */
    readonly lateStarts = new Map<string, LateStart>();
    reserved = Resources.none;
    /** Whether the last call was answered. */
    isReachable = false;
    /** Whether the worker has listed its runs to this owner. */
    hasListedRuns = false;
    /** Whether starts are blocked because the stored roster, by which a next owner finds workers, lacks this one. */
    isStartBlocked = false;
    /** Whether the worker was taken for lost since its last answer: its lease ended or it was replaced. */
    isLost = false;
    /** Task on trial here; nothing else starts meanwhile. */
    trialTask: Task | undefined;
    lastContactAtMs = 0;
    /** Monotonic time after which nothing that was ordered so far can be running here. */
    leaseEndsAtMs = 0;
    /** Highest sequence number of an end that was read. */
    lastReadEndSequence = 0;
    /** Highest sequence number of an end whose effects are durable. */
    lastDurableEndSequence = 0;
    /** Whether the worker is still registered. */
    isRegistered = true;
    /** Monotonic time until which only lasting tasks are placed here, with a lower score. */
    avoidUntilMs = 0;
    /** Monotonic time until which serving tasks are placed here only if their image is compatible with those here. */
    sameImagesOnlyUntilMs = -Infinity;
    /** Consecutive failures of tasks that had not failed elsewhere. */
    consecutiveFailures = 0;
    /** Average speed of its tasks relative to their estimates; 1 when nothing is known. */
    speed = 1;
    /** Monotonic time of the last reading of `speed`. */
    speedUpdatedAtMs = 0;
    /** Incremented with every change of the runs or of their readings; invalidates values cached for this worker. */
    version = 0;
    /** Planned pace of fillers by image, 0 to 99; images without an entry work at 100. */
    readonly pacePercentByImage = new Map<string, number>();
    /** Monotonic time of the last plan of `pacePercentByImage`. */
    pacePlannedAtMs = -Infinity;
    /** Factor on the headroom that fillers may take here according to the estimates, 0 to 1. */
    paceBudgetFactor = 1;
    /** Monotonic time since which a serving task has been over its target; undefined if none is. */
    overTargetSinceMs: number | undefined;

    /** Unique key of the incarnation, `id/start time`. */
    readonly key: string;

    private constructor(public entry: WorkerEntry) {
        this.key = `${entry.id}/${entry.startedAtMs}`;
    }

    static create(entry: WorkerEntry): WorkerIncarnation {
        return new WorkerIncarnation(entry);
    }

    add(run: Run): void {
        this.version++;
        this.runs.set(run.task.name, run);
        this.reserved = this.reserved.plus(run.reservation);
    }

    remove(run: Run): void {
        if (this.runs.get(run.task.name) === run) {
            this.version++;
            this.runs.delete(run.task.name);
            this.reserved = this.runs.size === 0 ? Resources.none : this.reserved.minus(run.reservation);
        }
    }

    /**
     * Keeps the capacity of a serving task that has ended for compatible images, but only for part of the time, so that
     * other waiting tasks get capacity as well.
     */
    noteServingTaskEnded(nowMs: number): void {
        if (nowMs >= this.sameImagesOnlyUntilMs + SameImagesPauseMs) {
            this.sameImagesOnlyUntilMs = nowMs + SameImagesOnlyMs;
        }
    }

    /** Planned pace of the fillers of an image, 0 to 100. */
    pacePercentFor(image: string): number {
        return this.pacePercentByImage.get(image) ?? 100;
    }

    hasCapacityFor(reservation: Resources): boolean {
        return this.reservedOrPending.plus(reservation).fitsIn(this.entry.capacity);
    }

    /** Resources reserved by runs, by orphan runs and by unanswered starts that may still be carried out. */
    get reservedOrPending(): Resources {
        let total = this.reserved;
        for (const { reservation } of this.orphanRuns.values()) {
            // A run of unknown size reserves the whole worker.
            total = total.plus(reservation ?? this.entry.capacity);
        }
        for (const [task, { isOver, run }] of this.lateStarts) {
            if (!isOver && !this.runs.has(task)) {
                total = total.plus(run.reservation);
            }
        }
        return total;
    }

    /** Number of tasks of one step that may be running here. */
    countTasksOfStep(stepName: string): number {
        let count = 0;
        for (const run of this.runs.values()) {
            count += run.task.step.name === stepName ? 1 : 0;
        }
        return count;
    }
}
