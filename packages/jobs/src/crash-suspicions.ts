import type { EndObserver } from "./end-observer.js";
import { explainLoss } from "./explain-loss.js";
import { JobEndReason } from "./job-end-reason.js";
import type { JobRegistry } from "./job-registry.js";
import { JobState } from "./job-state.js";
import type { Run } from "./run.js";
import { RunPhase } from "./run-phase.js";
import { settledRunMs } from "./settled-run-ms.js";
import { SuspicionChange } from "./suspicion-change.js";
import type { Task } from "./task.js";
import type { WorkerFleet } from "./worker-fleet.js";
import type { WorkerIncarnation } from "./worker-incarnation.js";
import { WorkerLoss } from "./worker-loss.js";

/**
 * Points at which a task is given up: a crash that it shares with others and one that it alone explains (2 points), or
 * three crashes with doubts. Each crash that counts adds a point at least, so no task is given up after one crash, and
 * none is started again after three.
 */
const GiveUpPoints = 3;
/** Time after the last answer of a worker until all other workers that were lost with it are known. */
const SettleMs = 3_000;
/** The same for a worker that may only be cut off: time until another one has taken its place. */
const UnprovenSettleMs = 12_000;
/** Time for which losses are kept, to take them back and to compare others with them. */
const KeepMs = 60_000;

/** Which tasks are suspected to crash their workers. */
export class CrashSuspicions {
    private losses: WorkerLoss[] = [];
    /** Tasks with a point for the loss of a worker under a previous owner, by worker key. */
    private readonly inherited = new Map<string, readonly Task[]>();

    private constructor(
        private readonly jobs: JobRegistry,
        private readonly fleet: WorkerFleet,
        private readonly observer: EndObserver,
    ) {}

    static create(jobs: JobRegistry, fleet: WorkerFleet, observer: EndObserver): CrashSuspicions {
        return new CrashSuspicions(jobs, fleet, observer);
    }

    /** Records the loss of a worker, with all the runs that it may have had; to be called before these are released. */
    noteLoss(worker: WorkerIncarnation, nowMs: number): void {
        if (worker.isLost) {
            return;
        }
        worker.isLost = true;
        const loss = WorkerLoss.create(worker, nowMs);
        const change = loss.hasTrial ? SuspicionChange.Trial : SuspicionChange.Shared;
        loss.blamed.forEach(task => this.addPoint(task, loss, change));
        this.losses.push(loss);
    }

    /** Records that an incarnation answers: if it was taken for lost, it was only cut off. */
    noteAlive(worker: WorkerIncarnation): void {
        const { key } = worker;
        worker.isLost = false;
        for (const loss of this.losses.filter(each => each.worker.key === key)) {
            this.takeBack(loss, SuspicionChange.CutOff);
        }
        this.losses = this.losses.filter(loss => loss.worker.key !== key);
        const tasks = this.inherited.get(key) ?? [];
        this.inherited.delete(key);
        tasks.forEach(task => this.change(task, -1, key, SuspicionChange.CutOff));
    }

    /** Records that a worker which a previous owner stored for the task is gone without a listed end. */
    noteInheritedLoss(task: Task, workerKey: string): void {
        this.inherited.set(workerKey, [...(this.inherited.get(workerKey) ?? []), task]);
        this.change(task, 1, workerKey, SuspicionChange.Inherited);
    }

    /** Ends the suspicion against a task whose worker has survived it for long enough. */
    noteListed(run: Run, nowMs: number): void {
        const { task } = run;
        const hasSurvived =
            run.phase === RunPhase.Running &&
            nowMs - run.confirmedAtMs >= settledRunMs &&
            task.isCurrent(run);
        if (task.suspicion > 0 && hasSurvived) {
            this.change(task, -task.suspicion, run.worker.key, SuspicionChange.Survived);
        }
    }

    /** Whether a loss is not settled yet that may lead to the task's being given up. */
    isHeld(task: Task): boolean {
        return task.suspicion > 1 && this.losses.some(loss => !loss.isSettled && loss.blamed.includes(task));
    }

    /** Judges the losses of which all is known, and gives up the tasks that have crashed too many workers. */
    settle(nowMs: number, wallMs: number): void {
        for (const loss of this.losses) {
            const isProven = this.isReplaced(loss.worker);
            if (!loss.isSettled && nowMs - loss.lostAtMs >= (isProven ? SettleMs : UnprovenSettleMs)) {
                this.judge(loss, isProven, nowMs);
                loss.blamed.forEach(task => this.giveUpIfDue(task, wallMs));
            }
        }
        this.losses = this.losses.filter(loss => nowMs - loss.lostAtMs < KeepMs);
    }

    /** Ends the job of a task that has too many points, unless a loss is to be judged first. */
    giveUpIfDue(task: Task, wallMs: number): void {
        if (task.suspicion >= GiveUpPoints && !this.isHeld(task) && !task.isDone) {
            const { job } = task.step.occurrence;
            this.jobs.setEndState(job, JobState.Failed, wallMs, JobEndReason.WorkerCrashes);
        }
    }

    private judge(loss: WorkerLoss, isProven: boolean, nowMs: number): void {
        loss.isSettled = true;
        const { isGroupLost, isDoubtful } = explainLoss(loss, this.losses, this.fleet, nowMs);
        if (isGroupLost) {
            this.excuse(loss);
        } else if (loss.hasTrial && loss.isClear && isProven && !isDoubtful) {
            loss.blamed.forEach(task => this.addPoint(task, loss, SuspicionChange.Proven));
        }
    }

    /**
     * Takes the points of a loss back that the loss of a group explains. For each task this counts once, since many
     * tasks that crash their workers at the same time look like the loss of a group.
     */
    private excuse(loss: WorkerLoss): void {
        for (const [task, points] of loss.points) {
            if (!task.hasBeenExcused) {
                task.hasBeenExcused = true;
                loss.points.delete(task);
                this.change(task, -points, loss.worker.key, SuspicionChange.GroupLost);
            }
        }
    }

    /** Whether another incarnation or another worker has taken the place of a worker. */
    private isReplaced({ entry }: WorkerIncarnation): boolean {
        return [...this.fleet.workers].some(
            ({ entry: other }) =>
                other.startedAtMs > entry.startedAtMs &&
                (other.id === entry.id || other.address === entry.address),
        );
    }

    private addPoint(task: Task, loss: WorkerLoss, change: SuspicionChange): void {
        loss.points.set(task, (loss.points.get(task) ?? 0) + 1);
        this.change(task, 1, loss.worker.key, change);
    }

    private takeBack(loss: WorkerLoss, change: SuspicionChange): void {
        loss.points.forEach((points, task) => this.change(task, -points, loss.worker.key, change));
        loss.points.clear();
    }

    private change(task: Task, points: number, workerKey: string, change: SuspicionChange): void {
        const { job } = task.step.occurrence;
        if (task.isDone || job.endState !== undefined) {
            return;
        }
        task.suspicion = Math.max(0, task.suspicion + points);
        this.jobs.markChanged(job);
        this.observer.onSuspicion?.(task, workerKey, change);
    }
}
