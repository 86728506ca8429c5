import { ResultCode } from "@samphireward/core/result-code";
import type { Resources } from "@samphireward/core/resources";
import { TaskState } from "@samphireward/core/task-state";
import type { WorkerInfo } from "@samphireward/core/worker-info";
import type { CellOwner } from "@samphireward/tasks/cell-owner";
import type { CellState } from "@samphireward/tasks/cell-state";
import { WorkerMode } from "@samphireward/tasks/worker-mode";
import type { PoolMetrics } from "./pool-metrics.js";

const modes: Readonly<Record<string, WorkerMode>> = {
    drain: WorkerMode.Drained,
    undrain: WorkerMode.Open,
    quarantine: WorkerMode.Quarantined,
    release: WorkerMode.Open,
};

/** What the operators' view of a cell is made from. */
interface OperationsParts {
    readonly cell: string;
    readonly owner: string;
    readonly epoch: number;
    readonly cellOwner: CellOwner;
    /** The durable state. */
    readonly state: () => CellState;
    readonly workers: () => readonly WorkerInfo[];
    readonly serviceReserve: () => Resources;
    readonly metrics: PoolMetrics;
}

/** One worker as operators see it. */
interface WorkerSummary {
    readonly name: string;
    readonly rack: string;
    readonly state: string;
    readonly capacity: Resources;
    readonly reserved: Resources;
    readonly tasks: readonly string[];
}

/** Operators' commands and view of one cell (docs/admin-api.md). */
export class CellOperations {
    private constructor(private readonly parts: OperationsParts) {}

    static create(parts: OperationsParts): CellOperations {
        return new CellOperations(parts);
    }

    /** Records an operator's command for a worker. */
    async setWorkerMode(worker: string, command: string): Promise<ResultCode> {
        const mode = modes[command];
        if (mode === undefined || !this.parts.workers().some(({ name }) => name === worker)) {
            return ResultCode.BadRequest;
        }
        const durable = await this.parts.cellOwner.setWorkerMode(worker, mode);
        return durable ? ResultCode.Answered : ResultCode.NoCellOwner;
    }

    describe(): unknown {
        const tasks = [...this.parts.state().tasks.values()];
        const count = (...states: TaskState[]): number =>
            tasks.filter(task => states.includes(task.state)).length;
        return {
            cell: this.parts.cell,
            owner: this.parts.owner,
            epoch: this.parts.epoch,
            workers: this.parts.workers().map(worker => this.summarize(worker)),
            queued: count(TaskState.Queued, TaskState.Evicted),
            running: count(TaskState.Starting, TaskState.Running, TaskState.Checkpointing),
            finished: count(TaskState.Finished),
            failed: count(TaskState.Failed),
            cancelled: count(TaskState.Cancelled),
            pools: this.parts.metrics.describe(tasks),
        };
    }

    private summarize(worker: WorkerInfo): WorkerSummary {
        const tasks = [...this.parts.state().tasks.values()].filter(task => task.worker === worker.name);
        const reserved = tasks.reduce(
            (sum, task) => sum.plus(task.spec.resources),
            this.parts.serviceReserve(),
        );
        return {
            name: worker.name,
            rack: worker.rack,
            state: worker.leaving ? "leaving" : this.parts.state().workerMode(worker.name),
            capacity: worker.capacity,
            reserved,
            tasks: tasks.map(task => task.spec.key),
        };
    }
}
