import { crashFailureOf } from "./crash-failure-of.js";
import { CrashProof } from "./crash-proof.js";
import type { EndObserver } from "./end-observer.js";
import { isNearLimit } from "./is-near-limit.js";
import { explainLoss } from "./explain-loss.js";
import { isLostWorkerReplaced } from "./is-lost-worker-replaced.js";
import { isReplaced } from "./is-replaced.js";
import { JobEndReason } from "./job-end-reason.js";
import type { JobRegistry } from "./job-registry.js";
import { JobState } from "./job-state.js";
import { LossRate } from "./loss-rate.js";
import type { LostWorker } from "./lost-worker.js";
import type { Run } from "./run.js";
import { RunPhase } from "./run-phase.js";
import { settledRunMs } from "./settled-run-ms.js";
import { SuspicionChange } from "./suspicion-change.js";
import type { Task } from "./task.js";
import { unknownAges } from "./unknown-ages.js";
import type { WorkerFleet } from "./worker-fleet.js";
import type { WorkerIncarnation } from "./worker-incarnation.js";
import { WorkerLoss } from "./worker-loss.js";

/** Time after the last answer of a worker until all other workers that were lost with it are known. */
const SettleMs = 3_000;
/** Time until another worker has taken the place of one that has crashed. One that is not replaced may be cut off. */
const UnprovenSettleMs = 12_000;
/** Probability that an inherited loss is one of several with another cause, as the losses beside it are not known. */
const UnknownShare = 0.1;
/** Time for which losses are kept, to take them back and to compare others with them. */
const KeepMs = 60_000;

/** Which tasks are suspected to crash their workers. */
export class CrashSuspicions {
    private losses: WorkerLoss[] = [];
    /** Tasks that a previous owner stored with a worker of which the loss is not settled yet, by worker key. */
    private readonly inherited = new Map<string, InheritedLoss>();
    private readonly lossRate: LossRate;

    private constructor(
        private readonly jobs: JobRegistry,
        private readonly fleet: WorkerFleet,
        private readonly observer: EndObserver,
    ) {
        this.lossRate = LossRate.create(fleet);
    }

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
        for (const [task, ages] of loss.ages) {
            const crash = { ...ages, lossRatePerMs: 0, sharedLossProbability: 1 };
            task.crashes.add(worker.key, worker.entry.address, crash);
            this.report(task, worker.key, change);
        }
        this.losses.push(loss);
    }

    /** Records that an incarnation answers: if it was taken for lost, it was only cut off. */
    noteAlive(worker: WorkerIncarnation): void {
        const { key } = worker;
        worker.isLost = false;
        for (const loss of this.losses.filter(each => each.worker.key === key)) {
            this.takeBack(loss.blamed, key, SuspicionChange.CutOff);
        }
        this.losses = this.losses.filter(loss => loss.worker.key !== key);
        this.takeBack(this.inherited.get(key)?.tasks ?? [], key, SuspicionChange.CutOff);
        this.inherited.delete(key);
    }

    /** Records that a worker which a previous owner stored for the task does not answer and has listed no end. */
    noteInheritedLoss(task: Task, lost: LostWorker, nowMs: number): void {
        const { worker: key, address } = lost;
        const loss = this.inherited.get(key) ?? { lost, tasks: new Set(), notedAtMs: nowMs };
        loss.tasks.add(task);
        this.inherited.set(key, loss);
        const lossRatePerMs = this.lossRate.perMs;
        const crash = { ...unknownAges, lossRatePerMs, sharedLossProbability: UnknownShare };
        task.crashes.add(key, address, crash);
        this.report(task, key, SuspicionChange.Inherited);
    }

    /** Ends the suspicion against a task whose worker has survived it for long enough. */
    noteListed(run: Run, nowMs: number): void {
        const { task } = run;
        const hasSurvived =
            run.phase === RunPhase.Running &&
            nowMs - run.confirmedAtMs >= settledRunMs &&
            task.isCurrent(run);
        if (task.suspicion > 0 && hasSurvived) {
            task.crashes.clear(nowMs);
            this.report(task, run.worker.key, SuspicionChange.Survived);
        }
    }

    /**
     * Whether a task that may be close to its limit is not to start yet: a loss is not settled, or so many workers are
     * lost for other reasons that a crash would not tell what caused it.
     */
    isHeld(task: Task): boolean {
        return isNearLimit(task) && (this.isUnsettled(task) || !this.lossRate.isCalm);
    }

    /** Judges the losses of which all is known, and gives up the tasks that have crashed too many workers. */
    settle(nowMs: number, wallMs: number): void {
        this.settleInherited(nowMs, wallMs);
        this.losses = this.losses.filter(loss => nowMs - loss.notedAtMs < KeepMs);
        this.lossRate.update(this.losses, nowMs);
        for (const loss of this.losses.filter(({ isProven, ages }) => !isProven && ages.size > 0)) {
            if (isReplaced(loss.worker.entry, this.fleet)) {
                if (nowMs - loss.lostAtMs >= SettleMs) {
                    this.prove(loss, nowMs);
                    loss.blamed.forEach(task => this.giveUpIfDue(task, wallMs));
                }
            } else if (!loss.isSettled && nowMs - loss.lostAtMs >= UnprovenSettleMs) {
                loss.isSettled = true;
                this.takeBack(loss.blamed, loss.worker.key, SuspicionChange.Unproven);
            }
        }
    }

    /** Ends the job of a task that has crashed too many workers, unless a loss is to be judged first. */
    giveUpIfDue(task: Task, wallMs: number): void {
        const { job } = task.step.occurrence;
        if (!task.isDone && task.suspicion > 0 && !this.isUnsettled(task)) {
            if (task.crashes.provenEvidence.isConclusive(job.isInherited)) {
                const failure = crashFailureOf(task);
                this.jobs.setEndState(job, JobState.Failed, wallMs, JobEndReason.WorkerCrashes, failure);
            }
        }
    }

    private isUnsettled(task: Task): boolean {
        return (
            this.losses.some(loss => !loss.isSettled && loss.ages.has(task)) ||
            [...this.inherited.values()].some(({ tasks }) => tasks.has(task))
        );
    }

    /** Counts a loss as a crash, also one that was taken back since nothing had taken the place of the worker in time. */
    private prove(loss: WorkerLoss, nowMs: number): void {
        loss.isSettled = true;
        loss.isProven = true;
        const { key, entry } = loss.worker;
        const { isGroupLost, sharedLossProbability } = explainLoss(loss, this.losses, this.fleet, nowMs);
        const causes = { lossRatePerMs: this.lossRate.perMsAt(loss), sharedLossProbability };
        for (const [task, ages] of loss.ages) {
            if (task.crashes.clearedAtMs <= loss.lostAtMs) {
                task.wasLostWithGroup ||= isGroupLost;
                task.crashes.add(key, entry.address, { ...ages, ...causes });
                task.crashes.prove(key);
                this.report(task, key, SuspicionChange.Proven);
            }
        }
    }

    private settleInherited(nowMs: number, wallMs: number): void {
        for (const [key, { lost, tasks, notedAtMs }] of this.inherited) {
            if (isLostWorkerReplaced(lost, this.fleet)) {
                tasks.forEach(task => task.crashes.prove(key, CrashProof.Inherited));
            } else if (nowMs - notedAtMs >= UnprovenSettleMs) {
                this.takeBack(tasks, key, SuspicionChange.Unproven);
            } else {
                continue;
            }
            this.inherited.delete(key);
            tasks.forEach(task => this.giveUpIfDue(task, wallMs));
        }
    }

    private takeBack(tasks: Iterable<Task>, workerKey: string, change: SuspicionChange): void {
        for (const task of tasks) {
            if (task.crashes.remove(workerKey)) {
                this.report(task, workerKey, change);
            }
        }
    }

    private report(task: Task, workerKey: string, change: SuspicionChange): void {
        const { job } = task.step.occurrence;
        if (!task.isDone && job.endState === undefined) {
            this.jobs.markChanged(job);
            this.observer.onSuspicion?.(task, workerKey, change);
        }
    }
}

/** Tasks that were stored with a worker, and when this owner found that it does not answer. */
interface InheritedLoss {
    readonly lost: LostWorker;
    readonly tasks: Set<Task>;
    readonly notedAtMs: number;
}
