import { checkJob } from "@samphireward/jobs/check-job";
import type { JobProgress } from "@samphireward/jobs/job-progress";
import type { JobSpec } from "@samphireward/jobs/job-spec";
import { openTaskLimits } from "@samphireward/jobs/open-task-limits";
import { taskCount } from "@samphireward/jobs/task-count";
import type { StoredJobProblem } from "./stored-job-problem.js";
import { SetAsideReason } from "./set-aside-reason.js";

/**
 * Returns why an owner cannot carry a job that was read from the store; undefined if it can. Its progress may have been
 * written by a build with other limits.
 */
export const findStoredJobProblem = (
    spec: JobSpec,
    progress: JobProgress | undefined,
): StoredJobProblem | undefined => {
    const problem = checkJob(spec);
    if (problem !== undefined) {
        return { reason: SetAsideReason.Limits, detail: problem };
    }
    const openTasks = (progress?.open.length ?? 0) * taskCount(spec);
    return openTasks > openTaskLimits.perOwner
        ? { reason: SetAsideReason.Limits, detail: `${openTasks} tasks are open` }
        : undefined;
};
