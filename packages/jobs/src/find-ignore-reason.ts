import { IgnoreReason } from "./ignore-reason.js";
import type { JobRegistry } from "./job-registry.js";
import { JobState } from "./job-state.js";
import type { ListedEnd } from "./listed-end.js";
import { parseTaskName } from "./parse-task-name.js";
import type { Run } from "./run.js";
import type { Task } from "./task.js";

const findForMissingTask = (jobs: JobRegistry, name: string): IgnoreReason | undefined => {
    const position = parseTaskName(name);
    const job = position && jobs.get(position.job);
    if (job === undefined) {
        return IgnoreReason.JobUnknown;
    }
    // An occurrence is closed once all its tasks are done.
    const isDone = job.endState === undefined || job.endState === JobState.Completed;
    return isDone ? IgnoreReason.TaskDone : undefined;
};

/**
 * Returns why a listed end is not that of its task's current run. Undefined if it is applied as such, or has no effect
 * because its job was cancelled or has failed. `run` is the run that ended, if the owner knows it.
 */
export const findIgnoreReason = (
    jobs: JobRegistry,
    end: ListedEnd,
    task: Task | undefined,
    run: Run | undefined,
): IgnoreReason | undefined => {
    if (task === undefined) {
        return findForMissingTask(jobs, end.task);
    }
    if (run !== undefined && task.isCurrent(run)) {
        // The other run of a speculative task has ended as done before.
        return task.isDone && task.step.spec.speculative && !task.step.spec.gang
            ? IgnoreReason.TaskDone
            : undefined;
    }
    if (task.isDone) {
        return IgnoreReason.TaskDone;
    }
    const hasLaterRun = run !== undefined || task.run !== undefined || end.number < task.lastRun;
    return hasLaterRun ? IgnoreReason.NotCurrent : undefined;
};
