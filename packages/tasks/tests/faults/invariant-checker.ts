import type { RunningTask } from "@samphireward/standins/worker/running-task";
import { Resources } from "@samphireward/core/resources";
import { TaskState } from "@samphireward/core/task-state";
import type { CellState } from "../../src/cell-state.js";
import { hasFailedPermanently } from "../../src/has-failed-permanently.js";

type End = "finished" | "failed" | "lease-lapsed" | "stopped" | "died";

/** After so many workers have crashed under a task, it must not be started `MaxStartsAfterCrashes` times more. */
const MaxCrashedWorkers = 3;
const MaxStartsAfterCrashes = 3;

/**
 * Compares what the workers do with the durable records. It shares no code with the owner besides the replay
 * of the log.
 */
export class InvariantChecker {
    readonly violations: string[] = [];
    readonly startedKeys = new Set<string>();
    /** Number of workers that each task has crashed. */
    readonly crashes = new Map<string, number>();
    /** Workers that died while the records said that the task is on them, one entry for each death. */
    private readonly deaths = new Map<string, string[]>();
    private readonly startsAfterCrashes = new Map<string, number>();
    private readonly running = new Map<string, Map<string, RunningTask>>();
    private readonly startedAttempts = new Set<string>();
    private readonly ends = new Map<string, End[]>();

    private constructor(private readonly durable: CellState) {}

    static create(durable: CellState): InvariantChecker {
        return new InvariantChecker(durable);
    }

    started(worker: string, capacity: Resources, task: RunningTask, checkpoint: string | undefined): void {
        const { key, attempt } = task;
        this.startedKeys.add(key);
        for (const [other, tasks] of this.running) {
            if ([...tasks.values()].some(running => running.key === key)) {
                this.report(`${key}#${attempt} starts on ${worker} while it runs on ${other}`);
            }
        }
        if (this.startedAttempts.has(`${key}#${attempt}`)) {
            this.report(`${key}#${attempt} starts twice`);
        }
        this.startedAttempts.add(`${key}#${attempt}`);
        this.checkCrashes(key);
        this.checkRecord(worker, task, checkpoint);
        const workerTasks = this.running.get(worker) ?? new Map<string, RunningTask>();
        this.running.set(worker, workerTasks.set(`${key}#${attempt}`, task));
        const sum = [...workerTasks.values()].reduce(
            (total, { resources }) => total.plus(resources),
            Resources.none,
        );
        if (!sum.fitsIn(capacity)) {
            this.report(`${worker} runs tasks that exceed its capacity`);
        }
    }

    ended(worker: string, task: RunningTask, end: End): void {
        this.running.get(worker)?.delete(`${task.key}#${task.attempt}`);
        this.ends.set(task.key, [...(this.ends.get(task.key) ?? []), end]);
    }

    /** Called when a task has crashed its worker, before the worker dies. */
    crashedBy(key: string): void {
        this.crashes.set(key, (this.crashes.get(key) ?? 0) + 1);
    }

    workerDied(worker: string): void {
        for (const [key, record] of this.durable.tasks) {
            if (record.worker === worker) {
                this.deaths.set(key, [...(this.deaths.get(key) ?? []), worker]);
            }
        }
    }

    overcommitRefused(worker: string, key: string, attempt: number): void {
        this.report(`${key}#${attempt} was sent to ${worker}, which lacks free capacity`);
    }

    /** Called when a worker drops an outcome: the records must not need it any more. */
    acknowledged(key: string, attempt: number): void {
        const record = this.durable.get(key);
        const isOpen = record?.worker !== undefined && record.attempt === attempt;
        if (isOpen) {
            this.report(`the outcome of ${key}#${attempt} is acknowledged before its record is durable`);
        }
    }

    /** Checks the final state of a run in which all tasks had time to end. */
    finish(accepted: Iterable<string>, refused: Iterable<string>, cancelled: ReadonlySet<string>): void {
        for (const key of accepted) {
            this.checkEnd(key, cancelled);
        }
        for (const key of refused) {
            if (this.startedKeys.has(key)) {
                this.report(`${key} was refused as not run, but ran`);
            }
        }
    }

    private checkCrashes(key: string): void {
        if ((this.crashes.get(key) ?? 0) < MaxCrashedWorkers) {
            return;
        }
        const starts = (this.startsAfterCrashes.get(key) ?? 0) + 1;
        this.startsAfterCrashes.set(key, starts);
        if (starts === MaxStartsAfterCrashes) {
            this.report(
                `${key} is started ${starts} times after ${MaxCrashedWorkers} workers crashed under it`,
            );
        }
    }

    private checkRecord(worker: string, task: RunningTask, checkpoint: string | undefined): void {
        const record = this.durable.get(task.key);
        const { attempt, key } = task;
        if (record === undefined || record.attempt < attempt) {
            this.report(`${key}#${attempt} starts without a durable record`);
        } else if (this.durable.ended.has(key)) {
            this.report(`${key}#${attempt} starts after the task has ended`);
        } else if (record.attempt === attempt && record.worker !== undefined && record.worker !== worker) {
            this.report(`${key}#${attempt} starts on ${worker}, recorded for ${record.worker}`);
        } else if (record.attempt === attempt && record.checkpoint !== checkpoint) {
            this.report(`${key}#${attempt} starts from ${checkpoint}, recorded is ${record.checkpoint}`);
        }
    }

    private checkEnd(key: string, cancelled: ReadonlySet<string>): void {
        const record = this.durable.get(key);
        const ends = this.ends.get(key) ?? [];
        const finishedCount = ends.filter(end => end === "finished").length;
        if (record === undefined || !this.durable.ended.has(key)) {
            this.report(`${key} was accepted and has not ended: ${record?.state}`);
        } else if (record.state === TaskState.Finished && finishedCount === 0) {
            this.report(`${key} is recorded as finished, but did not finish`);
        } else if (record.state === TaskState.Cancelled && !cancelled.has(key)) {
            this.report(`${key} is recorded as cancelled, but nobody cancelled it`);
        } else if (record.state === TaskState.Failed && !hasFailedPermanently(record.failures)) {
            this.report(`${key} is recorded as failed after ${record.failures.length} failures`);
        }
    }

    private report(violation: string): void {
        this.violations.push(violation);
    }
}
