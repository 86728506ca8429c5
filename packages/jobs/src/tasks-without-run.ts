import type { Step } from "./step.js";

/** Number of a step's tasks that are neither done nor assigned to a worker. */
export const tasksWithoutRun = ({ tasks }: Step): number => {
    let count = 0;
    for (const { isDone, run } of tasks) {
        count += isDone || run !== undefined ? 0 : 1;
    }
    return count;
};
