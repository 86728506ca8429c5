import { TaskState } from "@samphireward/core/task-state";

/** Whether an attempt of a task in this state may be running on a worker. */
export const isActiveState = (state: TaskState): boolean =>
    state === TaskState.Starting || state === TaskState.Running || state === TaskState.Checkpointing;
