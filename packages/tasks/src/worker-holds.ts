import type { QueuedTask } from "@samphireward/placement/queued-task";
import type { TaskQueue } from "@samphireward/placement/task-queue";
import type { WorkerEntry } from "./worker-entry.js";

interface Hold {
    readonly task: QueuedTask;
    readonly entry: WorkerEntry;
}

/**
 * Workers that are kept free for tasks that have waited too long, or on which capacity is being freed for a
 * task.
 */
export class WorkerHolds {
    private readonly byKey = new Map<string, Hold>();

    private constructor(private readonly queue: TaskQueue) {}

    static create(queue: TaskQueue): WorkerHolds {
        return new WorkerHolds(queue);
    }

    get(key: string): WorkerEntry | undefined {
        return this.byKey.get(key)?.entry;
    }

    hold(task: QueuedTask, entry: WorkerEntry): void {
        entry.heldFor = task.key;
        this.byKey.set(task.key, { task, entry });
        this.queue.hold(task.key, true);
    }

    release(key: string): void {
        const hold = this.byKey.get(key);
        if (hold !== undefined) {
            hold.entry.heldFor = undefined;
            this.byKey.delete(key);
            this.queue.hold(key, false);
        }
    }

    /** Releases the workers that are no longer in the cell, or have become too small for their task. */
    releaseUnsuitable(entries: readonly WorkerEntry[]): void {
        for (const [key, { task, entry }] of this.byKey) {
            if (!entries.includes(entry) || !entry.fitsWhenEmpty(task.resources)) {
                this.release(key);
            }
        }
    }
}
