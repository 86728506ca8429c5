import { TaskState } from "@samphireward/core/task-state";
import { PoolStatistics } from "./pool-statistics.js";
import type { TaskRecord } from "./task-record.js";
import type { Transition } from "./transition.js";

/** Counts ended tasks, evictions and waiting times of each pool. */
export class CellStatistics {
    private readonly byPool = new Map<string, PoolStatistics>();

    private constructor() {}

    static create(): CellStatistics {
        return new CellStatistics();
    }

    get pools(): ReadonlyMap<string, PoolStatistics> {
        return this.byPool;
    }

    /** Counts an applied transition; `before` is the task's state before it, `task` its record after it. */
    count(transition: Transition, before: TaskState, task: TaskRecord, wallMs: number): void {
        if (before === task.state) {
            return;
        }
        const pool = this.statisticsOf(task.spec.pool);
        if (task.state === TaskState.Finished) {
            pool.finished += 1;
        } else if (task.state === TaskState.Failed) {
            pool.failed += 1;
        } else if (task.state === TaskState.Cancelled) {
            pool.cancelled += 1;
        } else if (transition.kind === "starting" && task.attempt === 1) {
            pool.wait.record(Math.max(0, wallMs - task.wallMs));
        } else if (transition.kind === "released") {
            pool.evictions += transition.checkpoint === undefined ? 0 : 1;
            pool.released += transition.checkpoint === undefined ? 1 : 0;
        }
    }

    private statisticsOf(name: string): PoolStatistics {
        let pool = this.byPool.get(name);
        if (pool === undefined) {
            pool = PoolStatistics.create();
            this.byPool.set(name, pool);
        }
        return pool;
    }
}
