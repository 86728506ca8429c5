import type { CellLoad } from "./cell-load.js";
import type { JobRegistry } from "./job-registry.js";
import type { Step } from "./step.js";
import type { Task } from "./task.js";
import type { WorkerFleet } from "./worker-fleet.js";

const isWaiting = (task: Task): boolean => !task.isDone && task.run === undefined;

const waitingTasks = (steps: readonly Step[]): number =>
    steps.reduce((sum, step) => sum + step.tasks.filter(isWaiting).length, 0);

/** Computes the load totals of a cell. */
export const computeCellLoad = (registry: JobRegistry, fleet: WorkerFleet, unread: number): CellLoad => {
    const steps = [...registry.undecided].flatMap(job => [...job.openSteps()]);
    const lasting = steps.filter(({ spec }) => spec.lasting);
    const fillers = steps.filter(({ spec }) => spec.filler);
    const others = steps.filter(({ spec }) => !spec.lasting && !spec.filler);
    const reachable = [...fleet.workers].filter(worker => worker.isReachable);
    return {
        jobs: registry.undecidedCount,
        runs: [...fleet.workers].reduce((sum, worker) => sum + worker.runs.size, 0),
        waitingLasting: waitingTasks(lasting),
        waitingFillers: waitingTasks(fillers),
        waitingOthers: waitingTasks(others),
        waitingSuspected: steps
            .flatMap(({ tasks }) => tasks)
            .filter(task => isWaiting(task) && task.suspicion > 0).length,
        trials: [...fleet.workers].filter(({ trialTask }) => trialTask !== undefined).length,
        workers: fleet.size,
        reachable: reachable.length,
        unread,
        reserved: Math.round(reachable.reduce((sum, worker) => sum + worker.reserved.processors, 0)),
        processors: Math.round(reachable.reduce((sum, worker) => sum + worker.entry.capacity.processors, 0)),
    };
};
