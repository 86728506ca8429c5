import type { JobRegistry } from "./job-registry.js";
import { RunPhase } from "./run-phase.js";
import type { Task } from "./task.js";
import { trialDurationMs } from "./trial-duration-ms.js";
import type { WorkerFleet } from "./worker-fleet.js";
import type { WorkerIncarnation } from "./worker-incarnation.js";

/** One trial at a time for this many workers, as each may cost a worker and what else runs there. */
const WorkersPerTrial = 6;
/** The same while few trials end with the loss of their worker, so that the suspected tasks are probably innocent. */
const WorkersPerTrialIfSafe = 2;
/** Share of trials with the loss of their worker below which trials count as safe, and the weight of a new one in it. */
const SafeLossShare = 0.25;
const OutcomeWeight = 0.1;
const InitialLossShare = 0.5;

const isOver = (task: Task, fleet: WorkerFleet): boolean => {
    const { run, trial } = task;
    if (trial === undefined || trial.worker.isLost || fleet.get(trial.worker.entry.id) !== trial.worker) {
        return true;
    }
    if (run === undefined) {
        return task.isDone || !task.needsTrial || task.step.occurrence.job.endState !== undefined;
    }
    return (
        run.phase === RunPhase.Running && trial.worker.lastContactAtMs - run.confirmedAtMs >= trialDurationMs
    );
};

/** The open trials of a cell. */
export class Trials {
    private readonly tasks = new Set<Task>();
    private lossShare = InitialLossShare;

    private constructor(
        private readonly jobs: JobRegistry,
        private readonly fleet: WorkerFleet,
    ) {}

    static create(jobs: JobRegistry, fleet: WorkerFleet): Trials {
        return new Trials(jobs, fleet);
    }

    /** Whether so many more trials may be opened. A gang may exceed the limit if no other trial is open. */
    hasRoomFor(count: number): boolean {
        const perTrial = this.lossShare < SafeLossShare ? WorkersPerTrialIfSafe : WorkersPerTrial;
        const maxOpen = this.fleet.size / perTrial - count;
        return this.tasks.size <= maxOpen || this.isWithin(maxOpen);
    }

    /** Records whether the worker of a trial was lost; to be called before the trial is closed. */
    noteOutcome({ trial }: Task, isWorkerLost: boolean): void {
        if (trial !== undefined) {
            this.lossShare += (Number(isWorkerLost) - this.lossShare) * OutcomeWeight;
        }
    }

    /** A trial whose worker is silent stays open until the end of the lease, and costs no other worker. */
    private isWithin(maxOpen: number): boolean {
        const count = [...this.tasks].filter(({ trial }) => trial?.worker.isReachable === true).length;
        return count === 0 || count <= maxOpen;
    }

    isOnRack(rack: string): boolean {
        return [...this.tasks].some(({ trial }) => trial?.worker.entry.rack === rack);
    }

    open(task: Task, worker: WorkerIncarnation): void {
        task.trial = { worker, isStored: false };
        worker.trialTask = task;
        this.tasks.add(task);
        this.jobs.markChanged(task.step.occurrence.job);
    }

    close(task: Task): void {
        const { trial } = task;
        if (trial !== undefined) {
            task.trial = undefined;
            trial.worker.trialTask = undefined;
            this.tasks.delete(task);
            this.jobs.markChanged(task.step.occurrence.job);
        }
    }

    /** Closes the trials whose run has survived, whose worker is lost or whose task is not wanted any more. */
    closeFinished(): void {
        for (const task of [...this.tasks]) {
            if (isOver(task, this.fleet)) {
                if (task.run?.phase === RunPhase.Running) {
                    this.noteOutcome(task, task.run.worker.isLost);
                }
                this.close(task);
            }
        }
    }
}
