import { openTaskLimits } from "./open-task-limits.js";

/** Counts the open tasks of a cell by queue, and decides whether a queue may have more. */
export class OpenTasks {
    private total = 0;
    private readonly byQueue = new Map<string, number>();
    /** Those of the tasks that no worker could run, by queue. */
    private unrunnable: ReadonlyMap<string, number> = new Map();

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

    /**
     * As `mayAdd` for tasks that workers could run: tasks that no worker could run don't count, as they may stay for good.
     * All together have a bound of their own.
     */
    mayAddRunnable(queue: string, count: number): boolean {
        const used = (this.byQueue.get(queue) ?? 0) - (this.unrunnable.get(queue) ?? 0);
        const total = this.total - [...this.unrunnable.values()].reduce((sum, tasks) => sum + tasks, 0);
        return (
            used + count <= openTaskLimits.perOwner - total &&
            this.total + count <= openTaskLimits.perOwnerWithUnrunnable
        );
    }

    /** Sets how many of the open tasks no worker could run, by queue. */
    setUnrunnable(tasks: ReadonlyMap<string, number>): void {
        this.unrunnable = tasks;
    }

    /** Adds tasks to a queue; `count` is negative for tasks that are no longer open. */
    add(queue: string, count: number): void {
        this.total += count;
        this.byQueue.set(queue, (this.byQueue.get(queue) ?? 0) + count);
    }
}
