import { TaskState } from "@samphireward/core/task-state";
import { isWaitingState } from "./is-waiting-state.js";

/** Whether a task in this state waits for a worker, or for a worker's answer to its start. */
export const hasNotBegun = (state: TaskState): boolean =>
    isWaitingState(state) || state === TaskState.Starting;
