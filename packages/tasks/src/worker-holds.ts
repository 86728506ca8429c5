import type { TaskQueue } from "@samphireward/placement/task-queue";
import type { WorkerEntry } from "./worker-entry.js";

/** Workers that are kept free for tasks which have waited too long, or for which room is being made. */
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

    /** Releases the workers that are not among those of the cell any more. */
    releaseRemovedWorkers(entries: readonly WorkerEntry[]): void {
        for (const [key, entry] of this.byKey) {
            if (!entries.includes(entry)) {
                this.release(key);
            }
        }
    }
}
