import type { CodedError } from "@samphireward/core/coded-error";
import { ResultCode } from "@samphireward/core/result-code";
import type { TaskSpec } from "@samphireward/core/task-spec";
import type { CellOwner } from "@samphireward/tasks/cell-owner";
import type { CellState } from "@samphireward/tasks/cell-state";
import { countTasks } from "@samphireward/tasks/count-tasks";
import type { TaskCounts } from "@samphireward/tasks/task-counts";
import type { WorkerCommand } from "@samphireward/tasks/worker-command";
import type { Result } from "ts-results-es";

/** Data sources of the operators' view of a cell. */
interface CellOperationsOptions {
    readonly cell: string;
    readonly owner: string;
    readonly epoch: number;
    readonly cellOwner: CellOwner;
    readonly state: () => CellState;
}

/** Task counts of one pool in the operators' API. */
interface PoolSummary extends TaskCounts {
    readonly finished: number;
    readonly failed: number;
    readonly evictions: number;
    readonly waitHistogram: string;
}

/** Worker commands and status of one cell for operators (docs/admin-api.md). */
export class CellOperations {
    private constructor(private readonly options: CellOperationsOptions) {}

    static create(options: CellOperationsOptions): CellOperations {
        return new CellOperations(options);
    }

    /** Records an operator's command for a worker. */
    async commandWorker(worker: string, command: string): Promise<ResultCode> {
        const result = await this.options.cellOwner.commandWorker(worker, command as WorkerCommand);
        return result.isOk() ? ResultCode.Answered : result.error.code;
    }

    /** Explains where a task would be placed if it were accepted now. */
    explain(spec: TaskSpec): Result<unknown, CodedError> {
        const { cell, cellOwner } = this.options;
        return cellOwner.explain(spec).map(explanation => ({ cell, ...explanation }));
    }

    describe(): unknown {
        const { cell, owner, epoch, cellOwner } = this.options;
        return { cell, owner, epoch, ...cellOwner.describe(), pools: this.describePools() };
    }

    /** `queued` and `running` are current counts; the other figures count since this owner took over the cell. */
    private describePools(): Record<string, PoolSummary> {
        const pools: Record<string, PoolSummary> = {};
        const counts = countTasks(this.options.state().tasks.values());
        for (const [name, statistics] of this.options.cellOwner.statistics) {
            const { finished, failed, evictions, wait } = statistics;
            pools[name] = {
                ...(counts.get(name) ?? { queued: 0, running: 0 }),
                finished,
                failed,
                evictions,
                waitHistogram: wait.encode(),
            };
        }
        return pools;
    }
}
