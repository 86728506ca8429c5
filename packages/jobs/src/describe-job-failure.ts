import type { CrashedWorker } from "./crashed-worker.js";
import { CrashProof } from "./crash-proof.js";
import type { JobFailure } from "./job-failure.js";
import { JobFailureCause } from "./job-failure-cause.js";

/** Describes in one line what ended a job as failed, as `cause: task ...`. */
export const describeJobFailure = (failure: JobFailure): string => {
    const { cause, task } = failure;
    switch (cause) {
        case JobFailureCause.Attempts:
            return `${cause}: task ${task} ${describeAttempts(failure)}`;
        case JobFailureCause.WorkerCrashes:
            return `${cause}: task ${task}${describeCrashes(failure)}`;
        default:
            // Another build may have stored a cause that this one does not know.
            return `${String(cause)}: task ${task}`;
    }
};

const describeAttempts = ({ failedRuns, limit, configVersion }: JobFailure): string => {
    const config = configVersion === undefined ? "" : `, config ${configVersion}`;
    return `failed ${failedRuns ?? "?"} times, limit ${limit ?? "?"}${config}`;
};

const describeCrashes = ({ crashedWorkers = [], inheritedCrashes = 0 }: JobFailure): string => {
    const workers = crashedWorkers.map(describeWorker);
    const known = workers.length === 0 ? "" : `, workers ${workers.join(", ")}`;
    return inheritedCrashes === 0 ? known : `${known}, ${inheritedCrashes} before (${CrashProof.Inherited})`;
};

const describeWorker = ({ worker, proof }: CrashedWorker): string => `${worker.split("/", 1)[0]} (${proof})`;
