import type { Occurrence } from "./occurrence.js";
import type { Step } from "./step.js";

/** Tasks of a step that are neither done nor running. */
const tasksToStart = (step: Step): number => {
    let count = 0;
    for (const task of step.tasks) {
        count += task.isDone || task.run !== undefined ? 0 : 1;
    }
    return count;
};

/** Work of an occurrence's tasks that have not started, in processor-milliseconds; lasting tasks and fillers have none. */
export const remainingWorkMs = ({ steps }: Occurrence, factorOf: (step: Step) => number): number => {
    let sum = 0;
    for (const step of steps) {
        if (step.remainingTasks > 0 && !step.spec.lasting && !step.spec.filler) {
            const tasks = step.isOpen ? tasksToStart(step) : step.remainingTasks;
            sum += tasks * step.reservation.processors * step.spec.estimatedMs * factorOf(step);
        }
    }
    return sum;
};
