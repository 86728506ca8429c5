import { ResultCode } from "@samphireward/core/result-code";
import { TaskState } from "@samphireward/core/task-state";
import type { CellOwner } from "@samphireward/tasks/cell-owner";
import type { CellState } from "@samphireward/tasks/cell-state";
import type { WorkerCommand } from "@samphireward/tasks/worker-command";

/** What the operators' view of a cell is made from. */
interface CellOperationsOptions {
    readonly cell: string;
    readonly owner: string;
    readonly epoch: number;
    readonly cellOwner: CellOwner;
    readonly state: () => CellState;
}

/** Tasks of one pool as operators see them. */
interface PoolSummary {
    queued: number;
    running: number;
    finished: number;
    failed: number;
    evictions: number;
    waitHistogram: string;
}

/** Operators' commands and view of one cell (docs/admin-api.md). */
export class CellOperations {
    private constructor(private readonly parts: CellOperationsOptions) {}

    static create(parts: CellOperationsOptions): CellOperations {
        return new CellOperations(parts);
    }

    /** Records an operator's command for a worker. */
    async commandWorker(worker: string, command: string): Promise<ResultCode> {
        const result = await this.parts.cellOwner.commandWorker(worker, command as WorkerCommand);
        return result.isOk() ? ResultCode.Answered : result.error.code;
    }

    describe(): unknown {
        const { cell, owner, epoch, cellOwner } = this.parts;
        return { cell, owner, epoch, ...cellOwner.describe(), pools: this.describePools() };
    }

    /** `queued` and `running` are states now; the other figures count since this owner took the cell. */
    private describePools(): Record<string, PoolSummary> {
        const pools: Record<string, PoolSummary> = {};
        for (const [name, statistics] of this.parts.cellOwner.statistics) {
            const { finished, failed, evictions, wait } = statistics;
            pools[name] = {
                queued: 0,
                running: 0,
                finished,
                failed,
                evictions,
                waitHistogram: wait.encode(),
            };
        }
        for (const { spec, state } of this.parts.state().tasks.values()) {
            const pool = pools[spec.pool];
            if (pool !== undefined && (state === TaskState.Queued || state === TaskState.Evicted)) {
                pool.queued += 1;
            } else if (pool !== undefined && activeStates.has(state)) {
                pool.running += 1;
            }
        }
        return pools;
    }
}

const activeStates: ReadonlySet<TaskState> = new Set([
    TaskState.Starting,
    TaskState.Running,
    TaskState.Checkpointing,
]);
