import type { CellState } from "./cell-state.js";

/** Retention of the records of ended tasks, so that a repeated submission is answered from them. */
const EndedTaskRetentionMs = 24 * 60 * 60 * 1000;

/** Limit on the number of records of ended tasks, whatever their age. */
const MaxEndedTasks = 20_000;

/**
 * Retention of the keys that were cancelled before a task was accepted under them: longer than a submission can be on its way
 * between the deadline of its route, a stopped process and a retry at the next owner.
 */
const TombstoneRetentionMs = 150_000;

/** Limit on the records that one transition drops. */
const MaxKeysPerTransition = 1000;

/** Returns the keys of ended tasks and of tombstones whose records are dropped now, oldest first. */
export const selectTasksToForget = (state: CellState, wallMs: number): readonly string[] => {
    const { ended } = state;
    const keys: string[] = [];
    for (const key of ended) {
        const isOverLimit = ended.size - keys.length > MaxEndedTasks;
        const isOld = (state.get(key)?.wallMs ?? 0) < wallMs - EndedTaskRetentionMs;
        if (keys.length >= MaxKeysPerTransition || (!isOverLimit && !isOld)) {
            break;
        }
        keys.push(key);
    }
    for (const [key, cancelledAtMs] of state.tombstones) {
        if (keys.length >= MaxKeysPerTransition || cancelledAtMs >= wallMs - TombstoneRetentionMs) {
            break;
        }
        keys.push(key);
    }
    return keys;
};
