import { WorkClass } from "@samphireward/core/work-class";
import type { QueuedTask } from "./queued-task.js";

const isUrgent = (task: QueuedTask): boolean => task.workClass === WorkClass.LatencyCritical;

/** Whether a task is placed before another: urgent first, then the older one. A total order. */
export const isQueuedBefore = (a: QueuedTask, b: QueuedTask): boolean => {
    if (isUrgent(a) !== isUrgent(b)) {
        return isUrgent(a);
    }
    return a.submittedAtMs === b.submittedAtMs ? a.key < b.key : a.submittedAtMs < b.submittedAtMs;
};
