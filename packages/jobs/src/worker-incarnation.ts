import { Resources } from "@samphireward/core/resources";
import type { LateStart } from "./late-start.js";
import type { Run } from "./run.js";
import type { Step } from "./step.js";
import type { Task } from "./task.js";
import type { OrphanRun } from "./orphan-run.js";
import type { WorkerEntry } from "./worker-entry.js";
import { workerKey } from "./worker-key.js";

/** Capacity freed by a serving task is kept for compatible serving images for this long. */
const SameImagesOnlyMs = 1_200;
/** Minimum time between two such periods. */
const SameImagesPauseMs = 800;

/** One incarnation of a worker, from its start to its end, with the runs that it may hold. */
export class WorkerIncarnation {
    private readonly runsByTask = new Map<string, Run>();
    private readonly lateStartsByTask = new Map<string, LateStart>();
    private orphans: ReadonlyMap<string, OrphanRun> = new Map();
    private reservedByRuns = Resources.none;
    /** Reserved resources without those of orphan runs of unknown size; undefined after a change. */
    private knownReservation: Resources | undefined;
    private unknownOrphanCount = 0;
    /** Runs by task name, including those being stopped. */
    readonly runs: ReadonlyMap<string, Run> = this.runsByTask;
    /** Unanswered starts that this incarnation may still carry out, by task name. */
    readonly lateStarts: ReadonlyMap<string, LateStart> = this.lateStartsByTask;
    /** Whether the last call was answered. */
    isReachable = false;
    /** Monotonic time since which calls to the worker have not been answered; undefined if they are. */
    unreachableSinceMs: number | undefined;
    /** Whether the worker has listed its runs to this owner. */
    hasListedRuns = false;
    /** Whether starts are blocked because the stored roster, by which a next owner finds workers, lacks this one. */
    isStartBlocked = false;
    /** Whether the operators evacuate its data centre, so that nothing starts here. */
    isEvacuated = false;
    /** Step whose next task gets the capacity that it needs here before tasks of other steps; undefined if none. */
    heldFor: Step | undefined;
    /** Whether the next owner may rely on the end of the lease, so that it must not be extended. */
    isLeaseFrozen = false;
    /** Whether the worker was taken for lost since its last answer: its lease ended or it was replaced. */
    isLost = false;
    /** Task on trial here; nothing else starts meanwhile. */
    trialTask: Task | undefined;
    lastContactAtMs = 0;
    /** Monotonic time at which the last listing was requested. */
    lastListingSentAtMs = 0;
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
    /** Whether the last plan found runs here whose pace has been low. */
    hadLowPaceRuns = false;
    /** Monotonic time of the last plan of `pacePercentByImage`. */
    pacePlannedAtMs = -Infinity;
    /** Factor on the headroom that fillers may take here according to the estimates, 0 to 1. */
    paceBudgetFactor = 1;
    /** Monotonic time since which a serving task has been over its target; undefined if none is. */
    overTargetSinceMs: number | undefined;

    /** Unique key of the incarnation, `id/start time`. */
    readonly key: string;

    private constructor(public entry: WorkerEntry) {
        this.key = workerKey(entry);
    }

    static create(entry: WorkerEntry): WorkerIncarnation {
        return new WorkerIncarnation(entry);
    }

    add(run: Run): void {
        this.version++;
        this.runsByTask.set(run.task.name, run);
        this.reservedByRuns = this.reservedByRuns.plus(run.reservation);
        this.knownReservation = undefined;
    }

    remove(run: Run): void {
        if (this.runs.get(run.task.name) === run) {
            this.version++;
            this.runsByTask.delete(run.task.name);
            this.reservedByRuns =
                this.runs.size === 0 ? Resources.none : this.reservedByRuns.minus(run.reservation);
            this.knownReservation = undefined;
        }
    }

    /** Resources that the runs reserve. */
    get reserved(): Resources {
        return this.reservedByRuns;
    }

    /** Listed runs that belong to no known task, by task name, until a listing no longer shows them. */
    get orphanRuns(): ReadonlyMap<string, OrphanRun> {
        return this.orphans;
    }

    setOrphanRuns(orphanRuns: ReadonlyMap<string, OrphanRun>): void {
        this.orphans = orphanRuns;
        this.knownReservation = undefined;
    }

    setLateStart(taskName: string, start: LateStart): void {
        this.lateStartsByTask.set(taskName, start);
        this.knownReservation = undefined;
    }

    removeLateStart(taskName: string): void {
        this.lateStartsByTask.delete(taskName);
        this.knownReservation = undefined;
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

    /** Whether a task of the step fits beside the runs and beside what is held for another step. */
    hasCapacityFor(step: Step): boolean {
        return step.reservation.fitsBeside(this.reservedFromOthers(step), this.entry.capacity);
    }

    /** Resources that are not available to the step: reserved by runs, or held for another step. */
    reservedFromOthers(step: Step): Resources {
        const reserved = this.reservedOrPending;
        return this.heldFor === undefined || this.heldFor === step
            ? reserved
            : reserved.plus(this.heldFor.reservation);
    }

    /** Resources reserved by runs, by orphan runs and by unanswered starts that may still be carried out. */
    get reservedOrPending(): Resources {
        this.knownReservation ??= this.computeKnownReservation();
        // A run of unknown size reserves the whole worker, whose capacity may change.
        return this.unknownOrphanCount === 0
            ? this.knownReservation
            : this.knownReservation.plus(this.entry.capacity.scale(this.unknownOrphanCount));
    }

    private computeKnownReservation(): Resources {
        let total = this.reserved;
        this.unknownOrphanCount = 0;
        for (const { reservation } of this.orphanRuns.values()) {
            if (reservation === undefined) {
                this.unknownOrphanCount++;
            } else {
                total = total.plus(reservation);
            }
        }
        for (const [task, { isOver, run }] of this.lateStarts) {
            if (!isOver && !this.runs.has(task)) {
                total = total.plus(run.reservation);
            }
        }
        return total;
    }

    /**
     * Whether calls may extend the lease. With a new lease the worker could carry out a late start of a task that runs
     * elsewhere by now, so the stop of such a start has to be confirmed first.
     */
    get mayExtendLease(): boolean {
        if (this.isLeaseFrozen) {
            return false;
        }
        for (const [task, { run, isGivenUp, stopConfirmedAtMs }] of this.lateStarts) {
            if (isGivenUp && stopConfirmedAtMs === undefined && this.runs.get(task)?.number !== run.number) {
                return false;
            }
        }
        return true;
    }

    /** Whether the lease is over and nothing that was ordered can be running here. */
    get isEnded(): boolean {
        return this.isLost && this.runs.size === 0;
    }

    /** Whether another task is on trial here, beside which this one may not start. */
    hasTrialOfOther({ step, name }: Task): boolean {
        const { trialTask } = this;
        const mayShare = step.sharesTrials && trialTask?.step === step;
        return trialTask !== undefined && trialTask.name !== name && !mayShare;
    }

    /** Whether a run of the task may be here, including one that is being stopped. */
    holds(taskName: string): boolean {
        return this.runs.has(taskName) || this.orphanRuns.has(taskName);
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
