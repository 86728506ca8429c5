import type { IndexedHeap } from "./indexed-heap.js";
import type { QueuedTask } from "./queued-task.js";

/**
 * Tasks of one team and class whose sizes and run times each lie within a factor of two. Only the oldest is
 * tried: when it cannot start, the others most likely cannot either.
 */
export interface SubQueue {
    readonly name: string;
    readonly tasks: IndexedHeap<QueuedTask>;
}
