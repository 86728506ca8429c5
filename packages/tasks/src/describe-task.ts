import { TaskState } from "@samphireward/core/task-state";
import { hasCrashedPermanently } from "./has-crashed-permanently.js";
import type { OwnerCore } from "./owner-core.js";
import type { TaskRecord } from "./task-record.js";
import type { TaskStatus } from "./task-status.js";

const describeActive = (core: OwnerCore, task: TaskRecord): string => {
    const link = core.attemptTracker.findLink(task);
    const problem = link?.describe(core.attemptTracker.findAttempt(task)) ?? "";
    if (problem !== "") {
        return problem;
    }
    if (task.cancelRequested) {
        return `cancelled; worker ${task.worker} has not confirmed the stop yet`;
    }
    if (task.state === TaskState.Starting) {
        return `the start is being sent to worker ${task.worker}`;
    }
    return task.state === TaskState.Checkpointing
        ? `a checkpoint is being taken on worker ${task.worker}, to move the task`
        : `runs on worker ${task.worker}`;
};

const reasonOf = (core: OwnerCore, task: TaskRecord): string => {
    switch (task.state) {
        case TaskState.Queued:
            return core.placer.waitReason(task.spec.key);
        case TaskState.Evicted:
            return `moved with a checkpoint; ${core.placer.waitReason(task.spec.key)}`;
        case TaskState.Starting:
        case TaskState.Running:
        case TaskState.Checkpointing:
            return describeActive(core, task);
        case TaskState.Finished:
            return `finished with attempt ${task.attempt}`;
        case TaskState.Cancelled:
            return "cancelled";
        case TaskState.Failed:
            return hasCrashedPermanently(task.losses)
                ? task.output
                : `failed on ${task.failures.join(", ")}; the last error: ${task.output}`;
    }
};

/** Builds a task's status with the reason for its state. */
export const describeTask = (core: OwnerCore, task: TaskRecord): TaskStatus => ({
    key: task.spec.key,
    pool: task.spec.pool,
    state: task.state,
    attempt: task.attempt,
    worker: task.worker ?? "",
    reason: reasonOf(core, task),
    output: task.output,
});
