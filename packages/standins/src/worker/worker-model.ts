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

interface Ref {
    readonly key: string;
    readonly attempt: number;
}

const idOf = (task: Ref): string => `${task.key}#${task.attempt}`;

/** Progress in milliseconds from a checkpoint id, `<key>#<attempt>@<progress>`. */
const progressOf = (checkpoint: string | undefined): number =>
    checkpoint === undefined ? 0 : Number(checkpoint.slice(checkpoint.lastIndexOf("@") + 1));

/**
 * The task side of a stand-in worker without its HTTP port: epoch and attempt fencing, leases by the worker's
 * own clock, capacity, and outcomes that stay until they are acknowledged (docs/PLATFORM.md, section Worker).
 */
export class WorkerModel {
    /** Every task ends as failed; set by a fault command. */
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
    private readonly epochs = new Map<string, number>();
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
        if (!this.passEpoch(req.cell, req.epoch)) {
            return Err(ResultCode.StaleEpoch);
        }
        if (req.attempt <= (this.highestAttempts.get(req.key) ?? 0)) {
            this.stats.staleAttemptRefusals += 1;
            return Err(ResultCode.StaleAttempt);
        }
        if (!this.reserved().plus(req.resources).fitsIn(this.capacity)) {
            this.stats.overcommitRefusals += 1;
            this.observer?.overcommitRefused(req.key, req.attempt);
            return Err(ResultCode.CapacityExceeded);
        }
        this.run(req);
        return Ok.EMPTY;
    }

    /** Renews the listed attempts and returns those that do not run here. */
    renew(cell: string, epoch: number, leaseMs: number, tasks: readonly Ref[]): Result<Ref[], ResultCode> {
        this.advance();
        if (!this.passEpoch(cell, epoch)) {
            return Err(ResultCode.StaleEpoch);
        }
        const unknown: Ref[] = [];
        for (const ref of tasks) {
            const task = this.running.get(idOf(ref));
            if (task === undefined) {
                unknown.push({ key: ref.key, attempt: ref.attempt });
            } else {
                task.leaseUntilMs = this.clock.nowMs() + leaseMs;
            }
        }
        return Ok(unknown);
    }

    /** Stops an attempt and rejects later starts of it and of lower ones, also when it never ran. */
    stop(cell: string, epoch: number, ref: Ref): Result<void, ResultCode> {
        this.advance();
        if (!this.passEpoch(cell, epoch)) {
            return Err(ResultCode.StaleEpoch);
        }
        this.highestAttempts.set(ref.key, Math.max(ref.attempt, this.highestAttempts.get(ref.key) ?? 0));
        const task = this.running.get(idOf(ref));
        if (task !== undefined) {
            this.end(task, "stopped");
        }
        return Ok.EMPTY;
    }

    /** Returns an id that holds the progress, so that any stand-in worker can resume from it. */
    checkpoint(cell: string, epoch: number, ref: Ref): Result<string, ResultCode> {
        return this.find(cell, epoch, ref).map(task => `${idOf(task)}@${Math.floor(task.progressMs)}`);
    }

    throttle(cell: string, epoch: number, ref: Ref, share: number): Result<void, ResultCode> {
        return this.find(cell, epoch, ref).map(task => {
            task.share = Math.min(1, Math.max(0, share));
        });
    }

    /** Raises the highest epoch seen of a cell. */
    announce(cell: string, epoch: number): Result<void, ResultCode> {
        return this.passEpoch(cell, epoch) ? Ok.EMPTY : Err(ResultCode.StaleEpoch);
    }

    /** The highest epoch seen of any cell; a worker belongs to one cell. */
    get epoch(): number {
        return Math.max(0, ...this.epochs.values());
    }

    tasks(): readonly RunningTask[] {
        this.advance();
        return [...this.running.values()];
    }

    outcomes(): readonly TaskOutcome[] {
        this.advance();
        return [...this.outcomesById.values()];
    }

    acknowledge(cell: string, epoch: number, refs: readonly Ref[]): Result<void, ResultCode> {
        if (!this.passEpoch(cell, epoch)) {
            return Err(ResultCode.StaleEpoch);
        }
        for (const ref of refs) {
            this.outcomesById.delete(idOf(ref));
        }
        return Ok.EMPTY;
    }

    /** Ends what is due by the worker's clock: finished work and lapsed leases. */
    advance(): void {
        const nowMs = this.clock.nowMs();
        for (const task of this.running.values()) {
            const remainingMs = (task.payload.runMs - task.progressMs) / task.share;
            const finishMs = task.progressAtMs + remainingMs;
            task.progressMs += (nowMs - task.progressAtMs) * task.share;
            task.progressAtMs = nowMs;
            if (finishMs <= Math.min(nowMs, task.leaseUntilMs)) {
                this.end(task, task.payload.fail === true || this.failTasks ? "failed" : "finished");
            } else if (task.leaseUntilMs <= nowMs) {
                this.end(task, "lease-lapsed");
            }
        }
    }

    /** The VM dies: tasks, outcomes and what it has seen are gone. */
    die(): void {
        for (const task of [...this.running.values()]) {
            this.end(task, "died");
        }
        this.outcomesById.clear();
        this.epochs.clear();
        this.highestAttempts.clear();
    }

    private passEpoch(cell: string, epoch: number): boolean {
        if (epoch < (this.epochs.get(cell) ?? 0)) {
            this.stats.staleEpochRefusals += 1;
            return false;
        }
        this.epochs.set(cell, epoch);
        return true;
    }

    private find(cell: string, epoch: number, ref: Ref): Result<RunningTask, ResultCode> {
        this.advance();
        if (!this.passEpoch(cell, epoch)) {
            return Err(ResultCode.StaleEpoch);
        }
        const task = this.running.get(idOf(ref));
        return task === undefined ? Err(ResultCode.TaskUnknown) : Ok(task);
    }

    private reserved(): Resources {
        return [...this.running.values()].reduce((sum, task) => sum.plus(task.resources), Resources.none);
    }

    private run(req: StartRequest): void {
        const nowMs = this.clock.nowMs();
        const task: RunningTask = {
            cell: req.cell,
            key: req.key,
            attempt: req.attempt,
            resources: req.resources,
            payload: req.payload,
            startedMs: nowMs,
            leaseUntilMs: nowMs + req.leaseMs,
            progressMs: progressOf(req.checkpoint),
            progressAtMs: nowMs,
            share: 1,
        };
        if ([...this.running.values()].some(other => other.key === req.key)) {
            this.stats.concurrentDuplicates += 1;
        }
        this.highestAttempts.set(req.key, req.attempt);
        this.running.set(idOf(req), task);
        this.stats.starts[idOf(req)] = (this.stats.starts[idOf(req)] ?? 0) + 1;
        this.observer?.started(task, req.checkpoint);
    }

    private end(task: RunningTask, how: TaskOutcome["result"] | "stopped" | "died"): void {
        this.running.delete(idOf(task));
        if (how !== "stopped" && how !== "died") {
            const error = how === "failed" ? { error: "the task ended with an error" } : {};
            const output = how === "finished" ? `ran ${task.payload.runMs} ms` : "";
            const { key, attempt } = task;
            this.outcomesById.set(idOf(task), { key, attempt, result: how, output, ...error });
        }
        this.observer?.ended(task, how);
    }
}
