import type { TaskQueue } from "@samphireward/placement/task-queue";
import type { WorkerEntry } from "./worker-entry.js";

/**
 * Workers that are kept free for tasks that have waited too long, or on which capacity is being freed for a
 * task.
 */
export class WorkerHolds {
    private readonly byKey = new Map<string, WorkerEntry>();

    private constructor(private readonly queue: TaskQueue) {}

    static create(queue: TaskQueue): WorkerHolds {
        return new WorkerHolds(queue);
    }

    get(key: string): WorkerEntry | undefined {
        return this.byKey.get(key);
    }

    hold(key: string, entry: WorkerEntry): void {
        entry.heldFor = key;
        this.byKey.set(key, entry);
        this.queue.hold(key, true);
    }

    release(key: string): void {
        const entry = this.byKey.get(key);
        if (entry !== undefined) {
            entry.heldFor = undefined;
            this.byKey.delete(key);
            this.queue.hold(key, false);
        }
    }

    /** Releases the workers that are no longer in the cell. */
    releaseRemovedWorkers(entries: readonly WorkerEntry[]): void {
        for (const [key, entry] of this.byKey) {
            if (!entries.includes(entry)) {
                this.release(key);
            }
        }
    }
}
