import type { IndexedHeap } from "./indexed-heap.js";
import type { QueuedTask } from "./queued-task.js";

/**
 * Queued tasks of one team and class whose sizes and run times lie within a factor of two of each other. Only the
 * oldest is tried: if it cannot start, the others most likely cannot either.
 */
export interface SubQueue {
    readonly name: string;
    readonly tasks: IndexedHeap<QueuedTask>;
}
