import type { Clock } from "@samphireward/core/clock";
import { Resources } from "@samphireward/core/resources";
import { ResultCode } from "@samphireward/core/result-code";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import type { RunningTask } from "./running-task.js";
import type { StartRequest } from "./start-request.js";
import type { TaskOutcome } from "./task-outcome.js";
import type { WorkerObserver } from "./worker-observer.js";
import type { WorkerStats } from "./worker-stats.js";

interface AttemptRef {
    readonly key: string;
    readonly attempt: number;
}

const attemptId = (task: AttemptRef): string => `${task.key}#${task.attempt}`;

/** Parses the progress in milliseconds from a checkpoint id, `<key>#<attempt>@<progress>`. */
const checkpointProgressMs = (checkpoint: string | undefined): number =>
    checkpoint === undefined ? 0 : Number(checkpoint.slice(checkpoint.lastIndexOf("@") + 1));

/**
 * Task state of a stand-in worker, independent of its HTTP port: fences epochs and attempts, expires leases by the
 * worker's own clock, checks capacity, and keeps outcomes until they are acknowledged (docs/PLATFORM.md, section
 * Worker).
 */
export class WorkerModel {
    /** Makes every task that runs to its end fail; set by a fault command. */
    failTasks = false;
    readonly stats: WorkerStats = {
        starts: {},
        concurrentDuplicates: 0,
        overcommitRefusals: 0,
        staleEpochRefusals: 0,
        staleAttemptRefusals: 0,
        requests: {},
        overSlotRefusals: 0,
        overConnectionRefusals: 0,
    };

    private readonly running = new Map<string, RunningTask>();
    private readonly outcomesById = new Map<string, TaskOutcome>();
    private readonly highestEpochs = new Map<string, number>();
    private readonly highestAttempts = new Map<string, number>();

    private constructor(
        readonly capacity: Resources,
        private readonly clock: Clock,
        private readonly observer: WorkerObserver | undefined,
    ) {}

    static create(capacity: Resources, clock: Clock, observer?: WorkerObserver): WorkerModel {
        return new WorkerModel(capacity, clock, observer);
    }

    start(req: StartRequest): Result<void, ResultCode> {
        this.advance();
        if (!this.acceptEpoch(req.cell, req.epoch)) {
            return Err(ResultCode.StaleEpoch);
        }
        if (req.attempt <= (this.highestAttempts.get(req.key) ?? 0)) {
            this.stats.staleAttemptRefusals += 1;
            return Err(ResultCode.StaleAttempt);
        }
        if (!this.reservedResources().plus(req.resources).fitsIn(this.capacity)) {
            this.stats.overcommitRefusals += 1;
            this.observer?.overcommitRefused(req.key, req.attempt);
            return Err(ResultCode.CapacityExceeded);
        }
        this.startAttempt(req);
        return Ok.EMPTY;
    }

    /** Renews the leases of the listed attempts and returns those that are not running on this worker. */
    renew(
        cell: string,
        epoch: number,
        leaseMs: number,
        tasks: readonly AttemptRef[],
    ): Result<AttemptRef[], ResultCode> {
        this.advance();
        if (!this.acceptEpoch(cell, epoch)) {
            return Err(ResultCode.StaleEpoch);
        }
        const unknown: AttemptRef[] = [];
        for (const ref of tasks) {
            const task = this.running.get(attemptId(ref));
            if (task === undefined) {
                unknown.push({ key: ref.key, attempt: ref.attempt });
            } else {
                task.leaseEndsAtMs = this.clock.nowMs() + leaseMs;
            }
        }
        return Ok(unknown);
    }

    /** Stops an attempt. Later starts of it and of lower attempts are rejected, even if it never ran. */
    stop(cell: string, epoch: number, ref: AttemptRef): Result<void, ResultCode> {
        this.advance();
        if (!this.acceptEpoch(cell, epoch)) {
            return Err(ResultCode.StaleEpoch);
        }
        this.highestAttempts.set(ref.key, Math.max(ref.attempt, this.highestAttempts.get(ref.key) ?? 0));
        const task = this.running.get(attemptId(ref));
        if (task !== undefined) {
            this.endAttempt(task, "stopped");
        }
        return Ok.EMPTY;
    }

    /** Returns a checkpoint id that contains the progress, so that any stand-in worker can resume from it. */
    checkpoint(cell: string, epoch: number, ref: AttemptRef): Result<string, ResultCode> {
        return this.findRunning(cell, epoch, ref).map(
            task => `${attemptId(task)}@${Math.floor(task.progressMs)}`,
        );
    }

    throttle(cell: string, epoch: number, ref: AttemptRef, share: number): Result<void, ResultCode> {
        return this.findRunning(cell, epoch, ref).map(task => {
            task.relativeSpeed = Math.min(1, Math.max(0, share));
        });
    }

    /** Raises the highest epoch seen for a cell. Refuses a lower epoch. */
    announceEpoch(cell: string, epoch: number): Result<void, ResultCode> {
        return this.acceptEpoch(cell, epoch) ? Ok.EMPTY : Err(ResultCode.StaleEpoch);
    }

    /** Highest epoch seen for any cell; a worker belongs to one cell. */
    get epoch(): number {
        return Math.max(0, ...this.highestEpochs.values());
    }

    tasks(): readonly RunningTask[] {
        this.advance();
        return [...this.running.values()];
    }

    outcomes(): readonly TaskOutcome[] {
        this.advance();
        return [...this.outcomesById.values()];
    }

    acknowledge(cell: string, epoch: number, refs: readonly AttemptRef[]): Result<void, ResultCode> {
        if (!this.acceptEpoch(cell, epoch)) {
            return Err(ResultCode.StaleEpoch);
        }
        for (const ref of refs) {
            this.outcomesById.delete(attemptId(ref));
        }
        return Ok.EMPTY;
    }

    /** Ends the attempts whose work is complete or whose lease has expired by the worker's clock. */
    advance(): void {
        const nowMs = this.clock.nowMs();
        for (const task of this.running.values()) {
            const remainingMs = (task.payload.runMs - task.progressMs) / task.relativeSpeed;
            const finishMs = task.progressUpdatedAtMs + remainingMs;
            task.progressMs += (nowMs - task.progressUpdatedAtMs) * task.relativeSpeed;
            task.progressUpdatedAtMs = nowMs;
            if (finishMs <= Math.min(nowMs, task.leaseEndsAtMs)) {
                this.endAttempt(task, task.payload.fail === true || this.failTasks ? "failed" : "finished");
            } else if (task.leaseEndsAtMs <= nowMs) {
                this.endAttempt(task, "lease-lapsed");
            }
        }
    }

    /** Simulates a crash of the VM: running tasks, outcomes, and the epochs and attempts seen are lost. */
    crash(): void {
        for (const task of [...this.running.values()]) {
            this.endAttempt(task, "died");
        }
        this.outcomesById.clear();
        this.highestEpochs.clear();
        this.highestAttempts.clear();
    }

    private acceptEpoch(cell: string, epoch: number): boolean {
        if (epoch < (this.highestEpochs.get(cell) ?? 0)) {
            this.stats.staleEpochRefusals += 1;
            return false;
        }
        this.highestEpochs.set(cell, epoch);
        return true;
    }

    private findRunning(cell: string, epoch: number, ref: AttemptRef): Result<RunningTask, ResultCode> {
        this.advance();
        if (!this.acceptEpoch(cell, epoch)) {
            return Err(ResultCode.StaleEpoch);
        }
        const task = this.running.get(attemptId(ref));
        return task === undefined ? Err(ResultCode.TaskUnknown) : Ok(task);
    }

    private reservedResources(): Resources {
        return [...this.running.values()].reduce((sum, task) => sum.plus(task.resources), Resources.none);
    }

    private startAttempt(req: StartRequest): void {
        const nowMs = this.clock.nowMs();
        const task: RunningTask = {
            cell: req.cell,
            key: req.key,
            attempt: req.attempt,
            resources: req.resources,
            payload: req.payload,
            startedAtMs: nowMs,
            leaseEndsAtMs: nowMs + req.leaseMs,
            progressMs: checkpointProgressMs(req.checkpoint),
            progressUpdatedAtMs: nowMs,
            relativeSpeed: 1,
        };
        if ([...this.running.values()].some(other => other.key === req.key)) {
            this.stats.concurrentDuplicates += 1;
        }
        this.highestAttempts.set(req.key, req.attempt);
        this.running.set(attemptId(req), task);
        this.stats.starts[attemptId(req)] = (this.stats.starts[attemptId(req)] ?? 0) + 1;
        this.observer?.started(task, req.checkpoint);
    }

    private endAttempt(task: RunningTask, kind: TaskOutcome["result"] | "stopped" | "died"): void {
        this.running.delete(attemptId(task));
        if (kind !== "stopped" && kind !== "died") {
            const error = kind === "failed" ? { error: "the task ended with an error" } : {};
            const output = kind === "finished" ? `ran ${task.payload.runMs} ms` : "";
            const { key, attempt } = task;
            this.outcomesById.set(attemptId(task), { key, attempt, result: kind, output, ...error });
        }
        this.observer?.ended(task, kind);
    }
}
