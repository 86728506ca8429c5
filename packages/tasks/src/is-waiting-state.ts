import { TaskState } from "@samphireward/core/task-state";

/** Whether a task in this state waits for a worker. */
export const isWaitingState = (state: TaskState): boolean =>
    state === TaskState.Queued || state === TaskState.Evicted;
