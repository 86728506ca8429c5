import type { JobFailure } from "./job-failure.js";
import { JobFailureCause } from "./job-failure-cause.js";
import { taskPosition } from "./task-position.js";
import type { Task } from "./task.js";

/** Bounds the stored value; a task is given up after fewer crashes that count. */
const MaxWorkers = 8;

/** Describes the failure of a job whose task has crashed too many workers, by the crashes that count. */
export const crashFailureOf = (task: Task): JobFailure => {
    const { provenWorkers, provenEvidence } = task.crashes;
    const { count } = provenEvidence;
    // A crash at another age than those before makes these count no more.
    const counted = provenWorkers.slice(Math.max(0, provenWorkers.length - count));
    return {
        cause: JobFailureCause.WorkerCrashes,
        task: taskPosition(task),
        crashedWorkers: counted.slice(-MaxWorkers),
        inheritedCrashes: count - counted.length,
    };
};
