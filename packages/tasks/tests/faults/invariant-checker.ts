import type { RunningTask } from "@samphireward/standins/worker/running-task";
import type { Clock } from "@samphireward/core/clock";
import { Resources } from "@samphireward/core/resources";
import { TaskState } from "@samphireward/core/task-state";
import type { CellState } from "../../src/cell-state.js";
import { isSuspect } from "../../src/is-suspect.js";
import { LossVerdict } from "../../src/loss-verdict.js";
import type { Transition } from "../../src/transition.js";
import { hasFailedPermanently } from "../../src/has-failed-permanently.js";

const crashVerdicts: readonly LossVerdict[] = [LossVerdict.Restarted, LossVerdict.Crashed];

type End = "finished" | "failed" | "lease-lapsed" | "stopped" | "died";

/** After so many workers have crashed under a task, it must not be started `MaxStartsAfterCrashes` times more. */
const MaxCrashedWorkers = 3;
const MaxStartsAfterCrashes = 3;

/**
 * A task whose start is recorded so soon after its worker died counts as one under which the worker died: an owner
 * that has not noticed the death cannot tell whether the start caused it.
 */
const UnnoticedDeathMs = 5000;

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
    private readonly diedMs = new Map<string, number>();
    /** Number of deaths of workers that no task caused. */
    private otherDeaths = 0;
    private readonly startsAfterCrashes = new Map<string, number>();
    private readonly running = new Map<string, Map<string, RunningTask>>();
    private readonly startedAttempts = new Set<string>();
    private readonly ends = new Map<string, End[]>();

    private constructor(
        private readonly durable: CellState,
        private readonly clock: Clock,
    ) {}

    static create(durable: CellState, clock: Clock): InvariantChecker {
        return new InvariantChecker(durable, clock);
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
        this.checkTrial(worker, task);
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
        this.otherDeaths -= 1;
        this.crashes.set(key, (this.crashes.get(key) ?? 0) + 1);
    }

    workerDied(worker: string): void {
        this.otherDeaths += 1;
        this.diedMs.set(worker, this.clock.nowMs());
        for (const [key, record] of this.durable.tasks) {
            // A worker that dies while it is cut off may have died under the tasks that were lost there.
            const wasLost = record.losses.some(
                loss => loss.worker === worker && loss.verdict === LossVerdict.Lost,
            );
            if (record.worker === worker || wasLost) {
                this.addDeath(key, worker);
            }
        }
    }

    /** Called when a transition becomes durable: a worker counts as crashed only if it died under the task. */
    written(transition: Transition): void {
        if (transition.kind === "starting") {
            const diedMs = this.diedMs.get(transition.worker) ?? -Infinity;
            if (this.clock.nowMs() - diedMs <= UnnoticedDeathMs) {
                this.addDeath(transition.key, transition.worker);
            }
        } else if (transition.kind === "attempt-loss" && crashVerdicts.includes(transition.verdict)) {
            const { key, worker, verdict } = transition;
            if (this.deaths.get(key)?.includes(worker) !== true) {
                this.report(`${key} is recorded as ${verdict} on ${worker}, which did not die under it`);
            }
        }
    }

    private addDeath(key: string, worker: string): void {
        this.deaths.set(key, [...(this.deaths.get(key) ?? []), worker]);
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

    /** Reports two tasks on one worker that may both crash it. */
    private checkTrial(worker: string, task: RunningTask): void {
        const isSuspected = ({ key }: RunningTask): boolean => isSuspect(this.durable.get(key)?.losses ?? []);
        const others = [...(this.running.get(worker)?.values() ?? [])];
        if (isSuspected(task) && others.some(other => other.key !== task.key && isSuspected(other))) {
            this.report(`${task.key} starts on ${worker} beside another task that may crash the worker`);
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
            this.checkGivenUp(key, record.failures.length);
        }
    }

    private checkGivenUp(key: string, failureCount: number): void {
        const deaths = this.deaths.get(key) ?? [];
        if (new Set(deaths).size < 2 && deaths.length < 3) {
            this.report(
                `${key} is recorded as failed after ${failureCount} failures, ${deaths.length} crashes`,
            );
        }
        const [onlyCulprit, ...others] = this.crashes.keys();
        const isCulpritKnown = this.otherDeaths === 0 && others.length === 0;
        if (isCulpritKnown && key !== onlyCulprit) {
            this.report(`${key} is given up for crashes of ${onlyCulprit}`);
        }
    }

    private report(violation: string): void {
        this.violations.push(violation);
    }
}
