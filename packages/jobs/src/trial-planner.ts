import { chooseTrialWorker } from "./choose-trial-worker.js";
import type { CrashSuspicions } from "./crash-suspicions.js";
import { isSuitable } from "./is-suitable.js";
import { minNeighbourAgeMs } from "./min-neighbour-age-ms.js";
import type { NeighbourEffects } from "./neighbour-effects.js";
import type { Task } from "./task.js";
import type { Trials } from "./trials.js";
import type { WorkerFleet } from "./worker-fleet.js";
import type { WorkerIncarnation } from "./worker-incarnation.js";

/** Dependencies of the planner. */
interface TrialContext {
    readonly fleet: WorkerFleet;
    readonly effects: NeighbourEffects;
    readonly trials: Trials;
    readonly suspicions: CrashSuspicions;
}

/** Service whose workers may run a task, and how well a worker has to fit. */
interface TrialFit {
    readonly service: string;
    readonly requiresGoodFit: boolean;
}

/** Decides when suspected tasks start, and where: each alone among the suspected ones, after its trial is stored. */
export class TrialPlanner {
    private constructor(private readonly context: TrialContext) {}

    static create(context: TrialContext): TrialPlanner {
        return new TrialPlanner(context);
    }

    /** Whether a trial of the task could be opened now. */
    mayOpen(task: Task): boolean {
        const { trials, suspicions } = this.context;
        return task.trial === undefined && !suspicions.isHeld(task) && trials.hasRoomFor(1);
    }

    /** Returns the worker on which a suspected task starts now. Opens a trial if it has none; its start comes later. */
    workerFor(task: Task, fit: TrialFit, nowMs: number): WorkerIncarnation | undefined {
        if (task.trial === undefined) {
            if (this.mayOpen(task)) {
                this.open(task, fit, nowMs);
            }
            return undefined;
        }
        if (!this.isUsable(task, fit, nowMs)) {
            this.context.trials.close(task);
            return undefined;
        }
        const { worker, isStored } = task.trial;
        // Nothing else starts there since the trial was opened, so this takes the minimum age at most.
        const hasYoungRun = [...worker.runs.values()].some(
            ({ startedAtMs }) => nowMs - startedAtMs < minNeighbourAgeMs,
        );
        return isStored && !hasYoungRun ? worker : undefined;
    }

    /**
     * Whether all suspected members of a gang can start now. Opens their trials together, or none of them. In a gang that
     * shares trials one is enough: those that find no worker of their own start beside the others.
     */
    isGangReady(suspects: readonly Task[], fit: TrialFit, nowMs: number): boolean {
        const { trials, suspicions } = this.context;
        const unopened = suspects.filter(task => task.trial === undefined);
        const isShared = suspects.some(task => task.step.sharesTrials);
        if (unopened.length > 0 && !(isShared && unopened.length < suspects.length)) {
            const mayOpen =
                trials.hasRoomFor(unopened.length) && !suspects.some(task => suspicions.isHeld(task));
            const opened = mayOpen ? unopened.filter(task => this.open(task, fit, nowMs)) : [];
            if (opened.length < unopened.length && !(isShared && opened.length > 0)) {
                this.closeTrials(suspects);
            }
            return false;
        }
        const onTrial = suspects.filter(task => task.trial !== undefined);
        return onTrial.map(task => this.workerFor(task, fit, nowMs)).every(worker => worker !== undefined);
    }

    /** Closes the trials of a gang that found no worker for another member. */
    closeTrials(suspects: readonly Task[]): void {
        suspects.forEach(task => this.context.trials.close(task));
    }

    private open(task: Task, { service, requiresGoodFit }: TrialFit, nowMs: number): boolean {
        const { fleet, trials, effects } = this.context;
        const choice = { task, service, nowMs, requiresGoodFit };
        const worker = chooseTrialWorker(fleet.workers, trials, effects, choice);
        if (worker !== undefined) {
            trials.open(task, worker);
        }
        return worker !== undefined;
    }

    private isUsable(task: Task, { service }: TrialFit, nowMs: number): boolean {
        const worker = task.trial?.worker;
        return (
            worker !== undefined &&
            this.context.fleet.get(worker.entry.id) === worker &&
            worker.hasCapacityFor(task.step) &&
            isSuitable(worker, task, service, nowMs)
        );
    }
}
