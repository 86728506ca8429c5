import type { Clock } from "@samphireward/core/clock";
import { LatencyRecorder } from "@samphireward/core/latency-recorder";
import { TaskState } from "@samphireward/core/task-state";
import type { CellState } from "@samphireward/tasks/cell-state";
import type { TaskRecord } from "@samphireward/tasks/task-record";
import type { Transition } from "@samphireward/tasks/transition";

/** Figures of one pool in one cell since this process took the cell. */
interface PoolFigures {
    evictions: number;
    /** Time from submission to the first start. */
    readonly wait: LatencyRecorder;
}

/** A pool as operators see it. */
interface PoolSummary {
    readonly queued: number;
    readonly running: number;
    readonly finished: number;
    readonly failed: number;
    readonly evictions: number;
    readonly waitHistogram: string;
}

/** Waits and evictions of a cell's tasks, for each pool. */
export class PoolMetrics {
    private readonly pools = new Map<string, PoolFigures>();

    private constructor(private readonly clock: Clock) {}

    static create(clock: Clock): PoolMetrics {
        return new PoolMetrics(clock);
    }

    /** Notes a transition that became durable, before it is applied to the state. */
    note(transition: Transition, state: CellState): void {
        if (transition.kind === "starting" && transition.attempt === 1) {
            const task = state.get(transition.key);
            if (task !== undefined) {
                this.figures(task.spec.pool).wait.record(this.clock.wallMs() - task.wallMs);
            }
        }
        if (transition.kind === "released" && transition.checkpoint !== undefined) {
            const pool = state.get(transition.key)?.spec.pool;
            if (pool !== undefined) {
                this.figures(pool).evictions += 1;
            }
        }
    }

    describe(tasks: readonly TaskRecord[]): Record<string, PoolSummary> {
        const names = new Set([...this.pools.keys(), ...tasks.map(task => task.spec.pool)]);
        return Object.fromEntries([...names].map(name => [name, this.summarize(name, tasks)]));
    }

    private summarize(name: string, tasks: readonly TaskRecord[]): PoolSummary {
        const { evictions, wait } = this.figures(name);
        const count = (...states: TaskState[]): number =>
            tasks.filter(task => task.spec.pool === name && states.includes(task.state)).length;
        return {
            queued: count(TaskState.Queued, TaskState.Evicted),
            running: count(TaskState.Starting, TaskState.Running, TaskState.Checkpointing),
            finished: count(TaskState.Finished),
            failed: count(TaskState.Failed),
            evictions,
            waitHistogram: wait.encode(),
        };
    }

    private figures(pool: string): PoolFigures {
        const known = this.pools.get(pool) ?? { evictions: 0, wait: LatencyRecorder.create() };
        this.pools.set(pool, known);
        return known;
    }
}
