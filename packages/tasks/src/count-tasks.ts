import { TaskState } from "@samphireward/core/task-state";
import { isActiveState } from "./is-active-state.js";
import { isWaitingState } from "./is-waiting-state.js";
import type { TaskCounts } from "./task-counts.js";
import type { TaskRecord } from "./task-record.js";

/** Counts the tasks that have not ended, by pool. */
export const countTasks = (tasks: Iterable<TaskRecord>): ReadonlyMap<string, TaskCounts> => {
    const countsByPool = new Map<string, TaskCounts>();
    for (const { spec, state } of tasks) {
        const counts = countsByPool.get(spec.pool) ?? { queued: 0, running: 0 };
        countsByPool.set(spec.pool, counts);
        if (isWaitingState(state) || state === TaskState.Starting) {
            counts.queued += 1;
        } else if (isActiveState(state)) {
            counts.running += 1;
        }
    }
    return countsByPool;
};
