import type { BlockedTask } from "./blocked-task.js";
import { IndexedHeap } from "./indexed-heap.js";
import { isQueuedBefore } from "./is-queued-before.js";
import type { QueuedTask } from "./queued-task.js";
import type { SubQueue } from "./sub-queue.js";
import type { TaskQueueSettings } from "./task-queue-settings.js";

const defaults: TaskQueueSettings = { maxBackfillDelayMs: 30_000 };

/** Amounts within a factor of two share a bucket. */
const sizeBucket = (amount: number): number => (amount <= 0 ? -99 : Math.ceil(Math.log2(amount)));

const subQueueName = (task: QueuedTask): string => {
    const { processors, memoryMb, accelerators } = task.resources;
    const size = [processors, memoryMb, accelerators, task.expectedRunMs].map(sizeBucket).join(",");
    return `${task.workClass}|${task.team}|${task.interferenceClass}|${size}`;
};

/**
 * Tasks that wait for a worker: urgent before batch, each by age. `add` and `remove` cost O(log n);
 * `candidates` costs O(L log L) for L lanes (see `TaskLane`), whatever the number of tasks, and one call serves
 * a whole placement round.
 *
 * When a task waits for capacity, later tasks may pass it (backfill) only if they are declared to end within
 * `backfillBoundMs` of the moment it began to wait; after that nothing passes it until the owner keeps a
 * worker free for it (`hold`).
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

    /** Returns false, and changes nothing, when the key is present. */
    add(task: QueuedTask): boolean {
        if (this.subQueueByKey.has(task.key)) {
            return false;
        }
        const name = subQueueName(task);
        const lane = this.subQueues.get(name) ?? { name, tasks: IndexedHeap.create(isQueuedBefore) };
        this.subQueues.set(name, lane);
        this.subQueueByKey.set(task.key, lane);
        return lane.tasks.add(task);
    }

    /** Removes a task that is started or cancelled. */
    remove(key: string): QueuedTask | undefined {
        const lane = this.subQueueByKey.get(key);
        if (lane === undefined) {
            return undefined;
        }
        this.subQueueByKey.delete(key);
        this.blocked.remove(key);
        const task = lane.tasks.remove(key);
        if (lane.tasks.size === 0) {
            this.subQueues.delete(lane.name);
        }
        return task;
    }

    /**
     * Tells that no worker has room for a task. Not to be called for a task that waits for its team's quota:
     * that does not hold other teams back.
     */
    markBlocked(key: string, nowMs: number): void {
        const task = this.subQueueByKey.get(key)?.tasks.get(key);
        if (task !== undefined) {
            this.blocked.add({ key, task, blockedAtMs: nowMs, held: false });
        }
    }

    /** The first task that has waited for capacity for longer than the bound and has no worker held for it. */
    taskToHoldFor(nowMs: number): QueuedTask | undefined {
        const first = this.blocked.peek();
        const isDue = first !== undefined && !first.held && nowMs >= this.backfillEndMs(first);
        return isDue ? first.task : undefined;
    }

    /** Tells whether the owner keeps a worker free for a blocked task. While it does, other tasks may pass. */
    hold(key: string, held: boolean): void {
        const blocked = this.blocked.get(key);
        if (blocked !== undefined) {
            blocked.held = held;
        }
    }

    /** The oldest task of each lane, in order, as far as it may start now. */
    candidates(nowMs: number): QueuedTask[] {
        const heads: QueuedTask[] = [];
        for (const lane of this.subQueues.values()) {
            const head = lane.tasks.peek();
            if (head !== undefined && this.mayStart(head, nowMs)) {
                heads.push(head);
            }
        }
        return heads.sort((a, b) => (isQueuedBefore(a, b) ? -1 : 1));
    }

    /** Whether starting the task now respects the bound on the wait of the first blocked task. */
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
