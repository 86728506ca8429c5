import type { Occurrence } from "./occurrence.js";
import type { Step } from "./step.js";
import { tasksWithoutRun } from "./tasks-without-run.js";

/**
 * Work of an occurrence's tasks that have not started, in processor-milliseconds; lasting tasks and fillers have none.
 * `factorOf` returns the expected duration of a step's tasks relative to their estimate.
 */
export const remainingWorkMs = ({ steps }: Occurrence, factorOf: (step: Step) => number): number => {
    let sum = 0;
    for (const step of steps) {
        if (step.remainingTasks > 0 && !step.spec.lasting && !step.spec.filler) {
            const tasks = step.isOpen ? tasksWithoutRun(step) : step.remainingTasks;
            sum += tasks * step.reservation.processors * step.spec.estimatedMs * factorOf(step);
        }
    }
    return sum;
};
