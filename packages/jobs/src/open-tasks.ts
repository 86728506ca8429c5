import { openTaskLimits } from "./open-task-limits.js";

/** Counts the open tasks of a cell by queue, and decides whether a queue may have more. */
export class OpenTasks {
    private total = 0;
    private readonly byQueue = new Map<string, number>();

    private constructor() {}

    static create(): OpenTasks {
        return new OpenTasks();
    }

    /**
     * A queue may hold as many tasks as would then still be free for the others. So one queue alone gets half of the
     * bound, and a queue that starts later finds room. A queue without open tasks may always open an occurrence.
     */
    mayAdd(queue: string, count: number): boolean {
        const used = this.byQueue.get(queue) ?? 0;
        return used === 0 || used + count <= openTaskLimits.perOwner - this.total;
    }

    /** Adds tasks to a queue; `count` is negative for tasks that are no longer open. */
    add(queue: string, count: number): void {
        this.total += count;
        this.byQueue.set(queue, (this.byQueue.get(queue) ?? 0) + count);
    }
}
