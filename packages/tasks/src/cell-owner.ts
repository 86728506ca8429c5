import { CodedError } from "@samphireward/core/coded-error";
import { ResultCode } from "@samphireward/core/result-code";
import type { TaskSpec } from "@samphireward/core/task-spec";
import { TaskState } from "@samphireward/core/task-state";
import type { WorkerInfo } from "@samphireward/core/worker-info";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import type { CellStatus } from "./cell-status.js";
import { selectTasksToForget } from "./select-tasks-to-forget.js";
import { describeCell } from "./describe-cell.js";
import { describeTask } from "./describe-task.js";
import { OwnerCore } from "./owner-core.js";
import type { OwnerOptions } from "./owner-options.js";
import type { OwnerTables } from "./owner-tables.js";
import { TaskExplainer } from "./task-explainer.js";
import type { TaskExplanation } from "./task-explanation.js";
import type { TaskAnswer } from "./task-answer.js";
import type { TaskStatus } from "./task-status.js";
import type { PoolStatistics } from "./pool-statistics.js";
import { WorkerCommand } from "./worker-command.js";
import type { WorkerLink } from "./worker-link.js";
import { WorkerMode } from "./worker-mode.js";

type Answer = Promise<Result<TaskAnswer, CodedError>>;

/** Limit on the payload of a task, because the log and the snapshot hold the payload of every accepted task. */
const MaxPayloadBytes = 16 * 1024;

/** Limit on the keys that are kept because they were cancelled before a task was accepted under them. */
const MaxTombstones = 1_000;
/** Submissions with longer keys are refused, so that nothing is kept of them. */
const MaxKeyLength = 200;

/**
 * Owner of one cell: accepts, places, starts, monitors, moves and ends the cell's tasks. All calls come from
 * one sequential process; `tick` performs the work that has become due.
 */
export class CellOwner {
    /** Unknown keys whose cancellations are being recorded. */
    private readonly pendingTombstones = new Set<string>();
    private readonly explainer: TaskExplainer;

    private constructor(private readonly core: OwnerCore) {
        this.explainer = TaskExplainer.create(core);
    }

    static create(options: OwnerOptions): CellOwner {
        return new CellOwner(OwnerCore.create(options));
    }

    /** Whether this owner still owns the cell as far as it knows. */
    get isActive(): boolean {
        return this.core.isActive;
    }

    get workerNames(): Iterable<string> {
        return this.core.workers.names;
    }

    /**
     * Accepts a task once for each key. Resolves once the task is recorded: `TaskAccepted`, or
     * `TaskAlreadyAccepted` with the state of the earlier submission. An error of the 2xxx range proves that
     * the task was not recorded, as does `TaskCancelled`: the key was cancelled before.
     */
    async accept(spec: TaskSpec): Answer {
        const refusal = this.findRefusal(spec);
        if (refusal !== undefined) {
            return Err(refusal);
        }
        const known = this.core.task(spec.key);
        if (known !== undefined) {
            return this.answer(ResultCode.TaskAlreadyAccepted, spec.key);
        }
        if (this.isCancelled(spec.key)) {
            const message = `The task "${spec.key}" was cancelled before it was submitted`;
            return Err(CodedError.create(ResultCode.TaskCancelled, message));
        }
        const inProgress = this.core.submissions.find(spec.key);
        const recorded = inProgress ?? this.core.submissions.add(spec);
        this.core.flush();
        const result = await recorded;
        if (result.isErr()) {
            return result;
        }
        const isFirst = inProgress === undefined;
        return this.answer(isFirst ? ResultCode.TaskAccepted : ResultCode.TaskAlreadyAccepted, spec.key);
    }

    /**
     * Records a cancellation; resolves once it is durable. A task that has already ended keeps its end state,
     * and the answer shows it. A running task is stopped afterwards. `TaskUnknown` means that no task was accepted under
     * the key, and that none will be for the time for which a submission may be on its way.
     */
    async cancel(key: string): Answer {
        const submission = this.core.submissions.find(key);
        if (submission !== undefined) {
            await submission;
        }
        const task = this.core.task(key);
        if (task === undefined) {
            return this.cancelUnknown(key);
        }
        if (this.core.state.ended.has(key) || task.cancelRequested) {
            return this.answerCancel(key);
        }
        const recorded = await this.recordCancel(key);
        return recorded.andThen(() => this.answerCancel(key));
    }

    /**
     * Starts to evict a running task: checkpoint, confirmed stop, then queued with the checkpoint. Returns
     * false if the task cannot be evicted now.
     */
    evict(key: string): boolean {
        const started = this.core.attemptTracker.evict(key);
        this.core.flush();
        return started;
    }

    status(key: string): TaskStatus | undefined {
        const task = this.core.task(key);
        return task && describeTask(this.core, task);
    }

    /** Explains where a task would be placed if it were accepted now, without accepting it; changes nothing. */
    explain(spec: TaskSpec): Result<TaskExplanation, CodedError> {
        return this.explainer.explain(spec, () => this.findRefusal(spec));
    }

    /** Applies the VM directory's list of the cell's workers. */
    updateWorkers(workers: readonly WorkerInfo[]): void {
        this.core.workers.update(workers);
        this.core.quarantine.setWorkers(this.core.workers.names);
        this.core.onWorkerChanged();
    }

    setTables(tables: OwnerTables): void {
        this.core.setTables(tables);
    }

    /** Carries out an operator's command for a worker. Resolves once it is durable. */
    commandWorker(worker: string, command: WorkerCommand): Promise<Result<void, CodedError>> {
        const mode = modeByCommand[command];
        if (mode === undefined || !this.hasWorker(worker)) {
            const message = `No worker "${worker}" in the cell, or no command "${command}"`;
            return Promise.resolve(Err(CodedError.create(ResultCode.BadRequest, message)));
        }
        if (command === WorkerCommand.Release) {
            this.core.quarantine.release(worker);
        }
        return this.recordMode(worker, mode);
    }

    /** Records a worker's mode. Resolves to whether the record is durable. */
    async setWorkerMode(worker: string, mode: WorkerMode): Promise<boolean> {
        return (await this.recordMode(worker, mode)).isOk();
    }

    hasWorker(name: string): boolean {
        return this.core.workers.get(name) !== undefined;
    }

    /** Returns the status of the cell and its workers, for operators. */
    describe(): CellStatus {
        return describeCell(this.core);
    }

    /** Event counts of each pool since this owner took over the cell. */
    get statistics(): ReadonlyMap<string, PoolStatistics> {
        return this.core.statistics.pools;
    }

    /** Performs all work that is due, for the cell and for each worker. */
    tick(): void {
        this.tickCell();
        for (const link of this.core.workers.all) {
            this.tickLink(link);
        }
        this.core.flush();
    }

    /** Performs the work that is due for the cell as a whole. */
    tickCell(): void {
        if (this.core.isActive) {
            this.core.submissions.expire();
            this.core.forgetTasks(selectTasksToForget(this.core.state, this.core.wallMs()));
            this.core.lossJudge.tick();
            this.core.placeIfDue();
            this.core.flush();
        }
    }

    /** Performs the work that is due for one worker. */
    tickWorker(name: string): void {
        const link = this.core.workers.get(name);
        if (link !== undefined) {
            this.tickLink(link);
            this.core.flush();
        }
    }

    /** Ends this owner for a planned stop. Tasks keep running under their leases until the next owner takes over. */
    close(): void {
        this.core.depose("the scheduler is shutting down");
    }

    private tickLink(link: WorkerLink): void {
        if (!this.core.isActive) {
            return;
        }
        const drained = this.core.state.workerMode(link.entry.name) === WorkerMode.Drained;
        if (link.state.isLeaving || drained) {
            for (const key of link.attempts.keys()) {
                this.core.attemptTracker.evict(key);
            }
        }
        link.tick();
    }

    private findRefusal(spec: TaskSpec): CodedError | undefined {
        if (!this.core.isActive) {
            return notOwnerError();
        }
        if (this.core.task(spec.key) !== undefined) {
            return undefined;
        }
        if (Buffer.byteLength(spec.payload) > MaxPayloadBytes) {
            const message = `The payload exceeds ${MaxPayloadBytes} bytes`;
            return CodedError.create(ResultCode.RequestTooLarge, message);
        }
        const pool = this.core.placer.pool(spec.pool);
        if (pool !== undefined && !this.core.placer.admits(pool, spec.resources)) {
            const message = `The task alone exceeds the quota of team ${pool.team}`;
            return CodedError.create(ResultCode.QuotaExceeded, message);
        }
        if (!this.core.workers.hasListedWorkers) {
            return CodedError.create(ResultCode.NoCellOwner, "The directory lists no worker of the cell yet");
        }
        if (!this.core.workers.fitsAnyWorker(spec.resources)) {
            const { processors, memoryMb, accelerators } = spec.resources;
            const need = `${processors} processors, ${memoryMb} MB, ${accelerators} accelerators`;
            const have = this.core.workers.describeCapacities();
            const message = `The task needs ${need} beside the service's reserve; the workers have: ${have}`;
            return CodedError.create(ResultCode.TaskFitsNoWorker, message);
        }
        return undefined;
    }

    private recordMode(worker: string, mode: WorkerMode): Promise<Result<void, CodedError>> {
        return new Promise(resolve => {
            this.core.record({ kind: "worker-mode", worker, mode }, resolve);
            this.core.flush();
        });
    }

    /** Records a cancellation of an unknown task, which is kept, so that a submission on its way is not accepted. */
    private async cancelUnknown(key: string): Answer {
        if (key.length > MaxKeyLength) {
            return this.answer(ResultCode.TaskUnknown, key);
        }
        const count = this.core.state.tombstones.size + this.pendingTombstones.size;
        if (!this.isCancelled(key) && count >= MaxTombstones) {
            const message = `${MaxTombstones} unknown tasks were cancelled; their keys are kept`;
            return Err(CodedError.create(ResultCode.QueueFull, message));
        }
        this.pendingTombstones.add(key);
        const recorded = await this.recordCancel(key);
        this.pendingTombstones.delete(key);
        return recorded.andThen(() => this.answerCancel(key));
    }

    /** Whether a key was cancelled before a task was accepted under it. */
    private isCancelled(key: string): boolean {
        return this.pendingTombstones.has(key) || this.core.state.tombstones.has(key);
    }

    private recordCancel(key: string): Promise<Result<void, CodedError>> {
        return new Promise(resolve => {
            this.core.record({ kind: "cancelled", key, wallMs: this.core.wallMs() }, resolve);
            this.core.flush();
        });
    }

    private answer(code: ResultCode, key: string): Result<TaskAnswer, CodedError> {
        const status = this.status(key);
        if (status === undefined) {
            return Err(CodedError.create(ResultCode.TaskUnknown, `No task "${key}" is known`));
        }
        return Ok({ code, status });
    }

    private answerCancel(key: string): Result<TaskAnswer, CodedError> {
        const task = this.core.task(key);
        const cancelled = task?.cancelRequested === true || task?.state === TaskState.Cancelled;
        return this.answer(cancelled ? ResultCode.TaskCancelled : ResultCode.TaskAlreadyAccepted, key);
    }
}

const modeByCommand: Readonly<Record<string, WorkerMode | undefined>> = {
    [WorkerCommand.Drain]: WorkerMode.Drained,
    [WorkerCommand.Undrain]: WorkerMode.Open,
    [WorkerCommand.Quarantine]: WorkerMode.Quarantined,
    [WorkerCommand.Release]: WorkerMode.Open,
};

const notOwnerError = (): CodedError =>
    CodedError.create(ResultCode.NoCellOwner, "This scheduler does not own the cell");
