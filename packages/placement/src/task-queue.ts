import type { BlockedTask } from "./blocked-task.js";
import { IndexedHeap } from "./indexed-heap.js";
import { isQueuedBefore } from "./is-queued-before.js";
import type { QueuedTask } from "./queued-task.js";
import type { SubQueue } from "./sub-queue.js";
import type { TaskQueueSettings } from "./task-queue-settings.js";

const defaults: TaskQueueSettings = { maxBackfillDelayMs: 30_000 };

/** Exponent of the power of two to which the amount is rounded up, so that similar amounts share a bucket. */
const sizeBucket = (amount: number): number => (amount <= 0 ? -99 : Math.ceil(Math.log2(amount)));

const subQueueName = (task: QueuedTask): string => {
    const { processors, memoryMb, accelerators } = task.resources;
    const size = [processors, memoryMb, accelerators, task.expectedRunMs].map(sizeBucket).join(",");
    const suspect = task.isSuspect === true ? "|suspect" : "";
    return `${task.workClass}|${task.team}|${task.interferenceClass}|${size}${suspect}`;
};

/**
 * Priority queue of tasks that wait for a worker: urgent before batch tasks, oldest first within each. `add` and
 * `remove` cost O(log n). `candidates` costs O(L log L) for L sub-queues (see `SubQueue`), whatever the number of
 * tasks, and is called once for each placement round.
 *
 * While a task is blocked for lack of capacity, a later task may start before it (backfill) only if its declared
 * run time ends within `maxBackfillDelayMs` of the time at which the first task was blocked. After that no later
 * task starts until the owner reserves a worker for the blocked task (`hold`).
 */
export class TaskQueue {
    private readonly subQueues = new Map<string, SubQueue>();
    private readonly subQueueByKey = new Map<string, SubQueue>();
    private readonly blocked = IndexedHeap.create<BlockedTask>((a, b) => isQueuedBefore(a.task, b.task));

    private constructor(private readonly settings: TaskQueueSettings) {}

    static create(settings: Partial<TaskQueueSettings> = {}): TaskQueue {
        return new TaskQueue({ ...defaults, ...settings });
    }

    get size(): number {
        return this.subQueueByKey.size;
    }

    has(key: string): boolean {
        return this.subQueueByKey.has(key);
    }

    get(key: string): QueuedTask | undefined {
        return this.subQueueByKey.get(key)?.tasks.get(key);
    }

    /** Returns false, without any change, if a task with this key is queued already. */
    add(task: QueuedTask): boolean {
        if (this.subQueueByKey.has(task.key)) {
            return false;
        }
        const name = subQueueName(task);
        const subQueue = this.subQueues.get(name) ?? { name, tasks: IndexedHeap.create(isQueuedBefore) };
        this.subQueues.set(name, subQueue);
        this.subQueueByKey.set(task.key, subQueue);
        return subQueue.tasks.add(task);
    }

    /** Removes a task that was started or cancelled. */
    remove(key: string): QueuedTask | undefined {
        const subQueue = this.subQueueByKey.get(key);
        if (subQueue === undefined) {
            return undefined;
        }
        this.subQueueByKey.delete(key);
        this.blocked.remove(key);
        const task = subQueue.tasks.remove(key);
        if (subQueue.tasks.size === 0) {
            this.subQueues.delete(subQueue.name);
        }
        return task;
    }

    /**
     * Records that no worker has room for the task. Must not be called for a task that waits for its team's
     * quota, since such a task does not delay other teams.
     */
    markBlocked(key: string, nowMs: number): void {
        const task = this.subQueueByKey.get(key)?.tasks.get(key);
        if (task !== undefined) {
            this.blocked.add({ key, task, blockedAtMs: nowMs, held: false });
        }
    }

    /** The first blocked task, once `maxBackfillDelayMs` has passed, unless a worker is reserved for it already. */
    taskToHoldFor(nowMs: number): QueuedTask | undefined {
        const first = this.blocked.peek();
        const isDue = first !== undefined && !first.held && nowMs >= this.backfillEndMs(first);
        return isDue ? first.task : undefined;
    }

    /** Sets whether a worker is reserved for a blocked task. While one is, later tasks may start before it. */
    hold(key: string, held: boolean): void {
        const blocked = this.blocked.get(key);
        if (blocked !== undefined) {
            blocked.held = held;
        }
    }

    /** All queued tasks, in no particular order. */
    *values(): Generator<QueuedTask> {
        for (const { tasks } of this.subQueues.values()) {
            yield* tasks.values();
        }
    }

    /** The task that has to start before a new one of its kind; undefined if the new one would be the first. */
    firstLike(task: QueuedTask): QueuedTask | undefined {
        const first = this.subQueues.get(subQueueName(task))?.tasks.peek();
        return first !== undefined && isQueuedBefore(first, task) ? first : undefined;
    }

    /** The oldest task of each sub-queue that may start now, in queue order. */
    candidates(nowMs: number): QueuedTask[] {
        const heads: QueuedTask[] = [];
        for (const subQueue of this.subQueues.values()) {
            const head = subQueue.tasks.peek();
            if (head !== undefined && this.mayStart(head, nowMs)) {
                heads.push(head);
            }
        }
        return heads.sort((a, b) => (isQueuedBefore(a, b) ? -1 : 1));
    }

    /** Whether starting the task now keeps the backfill limit of the first blocked task. */
    mayStart(task: QueuedTask, nowMs: number): boolean {
        const first = this.blocked.peek();
        if (first === undefined || first.held || first.key === task.key || isQueuedBefore(task, first.task)) {
            return true;
        }
        return nowMs + task.expectedRunMs <= this.backfillEndMs(first);
    }

    private backfillEndMs(blocked: BlockedTask): number {
        return blocked.blockedAtMs + this.settings.maxBackfillDelayMs;
    }
}
