import { Resources } from "@samphireward/core/resources";
import type { LateStart } from "./late-start.js";
import type { Run } from "./run.js";
import type { OrphanRun } from "./orphan-run.js";
import type { WorkerEntry } from "./worker-entry.js";

/** Room that a serving task left is kept for its kind for this long, in milliseconds. */
const OwnKindMs = 1_200;
/** Room is not kept again for this long after that. */
const OwnKindPauseMs = 800;

/** One life of a worker, from its start to its end, with the runs that it may hold. */
export class WorkerIncarnation {
    /** Runs by the task's name, those that are being stopped included. */
    readonly runs = new Map<string, Run>();
    /** Runs listed by the worker that belong to no task here, by name, until a listing shows them no more. */
    orphanRuns: ReadonlyMap<string, OrphanRun> = new Map();
    /** Starts without an answer in an earlier life that may still be carried out in this one, by name. */
    readonly lateStarts = new Map<string, LateStart>();
    reserved = Resources.none;
    /** Whether the last call was answered. */
    isReachable = false;
    /** Whether the worker has listed its runs to this owner. */
    hasListedRuns = false;
    /** Whether no task may start here yet: an owner that took over now would not know of this worker. */
    isStartBlocked = false;
    lastContactAtMs = 0;
    /** Monotonic time after which nothing that was ordered so far can be running there. */
    leaseEndsAtMs = 0;
    /** Highest number of an end that was read. */
    lastReadEndSequence = 0;
    /** Highest number of an end whose effects are durable. */
    lastDurableEndSequence = 0;
    /** Whether the worker is still registered. */
    isRegistered = true;
    /** Monotonic time until which no task is placed here. */
    avoidUntilMs = 0;
    /** Monotonic time until which serving tasks get room here only if tasks of their kind are here. */
    sameImagesOnlyUntilMs = -Infinity;
    /** Failures in a row of tasks that had not failed elsewhere. */
    consecutiveFailures = 0;
    /** Speed of its tasks against their estimates, averaged; 1 when nothing is known. */
    speed = 1;
    /** Monotonic time of the last reading of `speed`. */
    speedUpdatedAtMs = 0;
    /** Raised with every change of the runs or of what is known of them; figures are kept for one version. */
    version = 0;
    /** Share at which the fillers of an image may work here, 0 to 99; images without an entry work at 100. */
    readonly pacePercentByImage = new Map<string, number>();
    /** Monotonic time of the last plan of `pace`. */
    pacePlannedAtMs = -Infinity;
    /** Part of what the estimates allow that fillers may use here, 0 to 1. */
    paceBudgetFactor = 1;
    /** Monotonic time since which a serving task has been over its target; undefined: none is. */
    overTargetSinceMs: number | undefined;

    /** Tells the lives of one id apart, as `id/born`. */
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
     * A serving task has left: its room is kept for tasks of the kind that is here, but only for part of the time,
     * so that others which wait for room get it.
     */
    noteServingTaskEnded(nowMs: number): void {
        if (nowMs >= this.sameImagesOnlyUntilMs + OwnKindPauseMs) {
            this.sameImagesOnlyUntilMs = nowMs + OwnKindMs;
        }
    }

    /** Share at which fillers of an image may work here, 0 to 100. */
    pacePercentFor(image: string): number {
        return this.pacePercentByImage.get(image) ?? 100;
    }

    hasCapacityFor(held: Resources): boolean {
        return this.reservedOrPending.plus(held).fitsIn(this.entry.capacity);
    }

    /** What the runs hold, and starts without an answer would hold that the worker may still carry out. */
    get reservedOrPending(): Resources {
        let committed = this.reserved;
        for (const { reservation: held } of this.orphanRuns.values()) {
            // Nothing else starts beside a run of unknown size.
            committed = committed.plus(held ?? this.entry.capacity);
        }
        for (const [task, { isStopConfirmed: isStopped, run }] of this.lateStarts) {
            if (!isStopped && !this.runs.has(task)) {
                committed = committed.plus(run.reservation);
            }
        }
        return committed;
    }

    /** Tasks of one step that may be running here. */
    countTasksOfStep(stepName: string): number {
        let count = 0;
        for (const run of this.runs.values()) {
            count += run.task.step.name === stepName ? 1 : 0;
        }
        return count;
    }
}
