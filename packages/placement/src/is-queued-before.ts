import { WorkClass } from "@samphireward/core/work-class";
import type { QueuedTask } from "./queued-task.js";

const isUrgent = (task: QueuedTask): boolean => task.workClass === WorkClass.LatencyCritical;

/** Total order of queued tasks: urgent tasks first, then by submission time, then by key. */
export const isQueuedBefore = (a: QueuedTask, b: QueuedTask): boolean => {
    if (isUrgent(a) !== isUrgent(b)) {
        return isUrgent(a);
    }
    return a.submittedAtMs === b.submittedAtMs ? a.key < b.key : a.submittedAtMs < b.submittedAtMs;
};
