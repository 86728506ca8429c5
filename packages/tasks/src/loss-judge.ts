import { runInBackground } from "@samphireward/core/run-in-background";
import type { AttemptLoss } from "./attempt-loss.js";
import { AttemptPhase } from "./attempt-phase.js";
import type { CellState } from "./cell-state.js";
import { hasCrashedPermanently } from "./has-crashed-permanently.js";
import { isWaitingState } from "./is-waiting-state.js";
import type { LossRecorder } from "./loss-recorder.js";
import { LossVerdict } from "./loss-verdict.js";
import type { OwnerContext } from "./owner-context.js";
import type { WorkerSet } from "./worker-set.js";

/** A decision about a crash waits this long, so that the loss of other workers at the same time is noticed before. */
const DecisionDelayMs = 3000;

/** A task that has run this long has not crashed its worker. */
const MinTrustedRunMs = 60_000;

/** Components of the owner that the judge uses. */
interface LossJudgeParts {
    readonly state: CellState;
    readonly workers: WorkerSet;
    readonly recorder: LossRecorder;
    readonly owner: OwnerContext;
    /** Whether the start of a task is queued for the log. */
    readonly isStartPending: (key: string) => boolean;
    readonly nowMs: () => number;
}

interface TaskLoss {
    readonly key: string;
    readonly loss: AttemptLoss;
}

/** Decides which tasks share the blame for a crash, which are cleared, and which are given up. */
export class LossJudge {
    /** When each worker with undecided losses was first seen to have crashed. */
    private readonly crashedMs = new Map<string, number>();
    /** Decisions that are queued for the log: names of workers, keys of tasks. */
    private readonly pending = new Set<string>();

    private constructor(private readonly parts: LossJudgeParts) {}

    static create(parts: LossJudgeParts): LossJudge {
        return new LossJudge(parts);
    }

    /** Whether a crash of the worker is not decided yet. New tasks on it could not be told from the earlier ones. */
    isUndecided(worker: string): boolean {
        return this.crashedMs.has(worker);
    }

    /** Makes the decisions that are due. */
    tick(): void {
        const { state } = this.parts;
        if (state.lossy.size === 0 && this.crashedMs.size === 0) {
            return;
        }
        for (const key of state.lossy) {
            this.trustIfDue(key);
            this.giveUpIfDue(key);
        }
        this.decideCrashes();
    }

    private decideCrashes(): void {
        const crashes = this.findCrashes();
        for (const worker of this.crashedMs.keys()) {
            if (!crashes.has(worker)) {
                this.crashedMs.delete(worker);
                this.parts.owner.onWorkerChanged();
            }
        }
        const nowMs = this.parts.nowMs();
        for (const [worker, losses] of crashes) {
            const sinceMs = this.crashedMs.get(worker) ?? nowMs;
            this.crashedMs.set(worker, sinceMs);
            if (nowMs - sinceMs >= DecisionDelayMs && this.areAttemptsNoted(worker)) {
                this.decide(worker, losses);
            }
        }
    }

    /** Undecided losses by worker, of the workers that are known to have crashed. */
    private findCrashes(): Map<string, TaskLoss[]> {
        const crashes = new Map<string, TaskLoss[]>();
        for (const key of this.parts.state.lossy) {
            for (const loss of this.parts.state.get(key)?.losses ?? []) {
                if (this.isUndecidedCrash(loss)) {
                    crashes.set(loss.worker, [...(crashes.get(loss.worker) ?? []), { key, loss }]);
                }
            }
        }
        return crashes;
    }

    /** A loss is decided once the worker is known to have restarted, or is off because the directory no longer lists it. */
    private isUndecidedCrash({ worker, verdict }: AttemptLoss): boolean {
        const { workers } = this.parts;
        const isOff = workers.get(worker)?.state.isGone ?? workers.hasListedWorkers;
        return verdict === LossVerdict.Restarted || (verdict === LossVerdict.Lost && isOff);
    }

    /** Whether the leases on a worker that is off have ended, so that all its losses are noted. */
    private areAttemptsNoted(worker: string): boolean {
        const link = this.parts.workers.get(worker);
        return link?.state.isGone !== true || link.attempts.size === 0;
    }

    private decide(worker: string, losses: readonly TaskLoss[]): void {
        if (this.pending.has(worker)) {
            return;
        }
        this.pending.add(worker);
        const suspects = losses.filter(({ key, loss }) => this.wasSuspect(key, loss));
        // Tasks that started after a suspect share the blame with it; otherwise it could hide them again and again.
        const longestMs = Math.max(...suspects.map(({ loss }) => loss.ranMs));
        const decisions = losses.map(each => {
            const isBlamed = suspects.length === 0 || suspects.includes(each) || each.loss.ranMs <= longestMs;
            return this.recordVerdict(each, isBlamed);
        });
        this.removePending(worker, Promise.all(decisions));
    }

    private recordVerdict({ key, loss }: TaskLoss, isBlamed: boolean): Promise<boolean> {
        const { recorder, state, workers } = this.parts;
        const task = state.get(key);
        const link = workers.get(loss.worker);
        // That a VM is off the directory's list does not tell whether it crashed or was replaced.
        const isProved = loss.verdict === LossVerdict.Restarted;
        const isExplained = link !== undefined && recorder.isWideOrPlanned(link);
        const isExcusable = !isBlamed || !isProved || isExplained;
        const verdict = isExcusable && recorder.mayExcuse(task) ? LossVerdict.Excused : LossVerdict.Crashed;
        return recorder.record(key, { ...loss, verdict });
    }

    /** Whether the task had a part in an earlier loss. Excused ones count here, because one of those tasks may be the cause. */
    private wasSuspect(key: string, { attempt }: AttemptLoss): boolean {
        const losses = this.parts.state.get(key)?.losses ?? [];
        return losses.some(other => other.attempt < attempt);
    }

    /** Clears a task that has run long enough, and at least twice as long as before any loss. */
    private trustIfDue(key: string): void {
        const { state, workers, recorder, nowMs } = this.parts;
        const task = state.get(key);
        const link = task?.worker === undefined ? undefined : workers.get(task.worker);
        const attempt = link?.attempts.get(key);
        const isRunning = attempt?.phase === AttemptPhase.Live && attempt.runningSinceMs > 0;
        if (task === undefined || !isRunning || link?.state.isReachable !== true || this.pending.has(key)) {
            return;
        }
        const neededMs = Math.max(MinTrustedRunMs, ...task.losses.map(({ ranMs }) => 2 * ranMs));
        const ranMs = nowMs() - attempt.runningSinceMs;
        const isLost = task.losses.some(loss => loss.attempt === task.attempt);
        if (ranMs >= neededMs && !isLost) {
            const verdict = LossVerdict.Trusted;
            const loss = { attempt: task.attempt, worker: link.entry.name, verdict, ranMs };
            this.pending.add(key);
            this.removePending(key, recorder.record(key, loss));
        }
    }

    private giveUpIfDue(key: string): void {
        const { state, owner, isStartPending } = this.parts;
        const task = state.get(key);
        const isDue = task !== undefined && isWaitingState(task.state) && hasCrashedPermanently(task.losses);
        if (isDue && !isStartPending(key) && !this.pending.has(key)) {
            this.pending.add(key);
            owner.record({ kind: "given-up", key, wallMs: owner.wallMs() }, () => this.pending.delete(key));
        }
    }

    private removePending(name: string, recorded: Promise<unknown>): void {
        runInBackground(
            "loss decision",
            recorded.then(() => this.pending.delete(name)),
        );
    }
}
