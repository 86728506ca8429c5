import type { JobFailure } from "./job-failure.js";
import { JobFailureCause } from "./job-failure-cause.js";
import { taskPosition } from "./task-position.js";
import type { Task } from "./task.js";

/** Describes the failure of a job whose task has failed as often as the rule of its queue allows. */
export const attemptFailureOf = (task: Task, limit: number, configVersion?: number): JobFailure => ({
    cause: JobFailureCause.Attempts,
    task: taskPosition(task),
    failedRuns: task.failedRuns.size,
    limit,
    ...(configVersion === undefined ? {} : { configVersion }),
});
