import type { Attempt } from "./attempt.js";
import { AttemptPhase } from "./attempt-phase.js";
import type { AttemptLoss } from "./attempt-loss.js";
import type { CellState } from "./cell-state.js";
import { isLostWithMost } from "./loss-scope.js";
import { LossVerdict } from "./loss-verdict.js";
import type { OwnerContext } from "./owner-context.js";
import type { TaskRecord } from "./task-record.js";
import type { WorkerLink } from "./worker-link.js";
import { WorkerMode } from "./worker-mode.js";
import type { WorkerSet } from "./worker-set.js";

/**
 * How often a task's losses are excused, because of a VM that was taken away, the loss of most of a rack or cell, or another
 * task. Later ones count, because tasks that crash their workers can hide each other again and again.
 */
const MaxExcused = 2;

/** Components of the owner that the recorder uses. */
interface LossRecorderParts {
    readonly state: CellState;
    readonly workers: WorkerSet;
    readonly owner: OwnerContext;
    readonly nowMs: () => number;
}

interface TaskLoss {
    readonly key: string;
    readonly loss: AttemptLoss;
}

/** Records which attempts were on a worker that crashed or stopped answering, and how that turned out. */
export class LossRecorder {
    /** Losses of workers that do not answer, which are queued for the log. */
    private readonly queuedLosses = new Set<TaskLoss>();

    private constructor(private readonly parts: LossRecorderParts) {}

    static create(parts: LossRecorderParts): LossRecorder {
        return new LossRecorder(parts);
    }

    /** Notes an attempt whose lease has ended on a worker that does not answer. */
    noteLeaseEnd(link: WorkerLink, attempt: Attempt): void {
        if (mayHaveRun(attempt) && !link.state.isReachable && !this.isNoted(attempt)) {
            const { key } = attempt;
            const isExcused = this.isWideOrPlanned(link) && this.mayExcuse(this.parts.state.get(key));
            const verdict = isExcused ? LossVerdict.Excused : LossVerdict.Lost;
            const lost = { key, loss: this.lossOf(link, attempt, verdict) };
            // An excused loss is decided, and its task may be started as any other.
            if (!isExcused) {
                this.queuedLosses.add(lost);
            }
            this.push(key, lost.loss, () => this.queuedLosses.delete(lost));
        }
    }

    /** Notes an attempt that its worker has forgotten: it has restarted without an unanswered call. */
    noteForgotten(link: WorkerLink, attempt: Attempt): void {
        if (!this.isNoted(attempt)) {
            link.state.markRestarted();
            this.push(attempt.key, this.lossOf(link, attempt, LossVerdict.Restarted));
        }
    }

    /**
     * Notes that a worker has lost its tasks. Resolves to whether the notes are durable. Until then the worker's
     * epoch must not be raised, because its reset is the only proof of the restart that the next owner could find.
     */
    async noteRestart(link: WorkerLink, attempts: readonly Attempt[]): Promise<boolean> {
        const verdict = LossVerdict.Restarted;
        const notes = this.unexplainedLosses(link.entry.name).map(({ key, loss }) =>
            this.record(key, { ...loss, verdict }),
        );
        for (const attempt of attempts.filter(mayHaveRun)) {
            notes.push(this.record(attempt.key, this.lossOf(link, attempt, verdict)));
        }
        this.parts.owner.flush();
        return (await Promise.all(notes)).every(isDurable => isDurable);
    }

    /** Clears the losses on a worker that answers again and has kept its tasks. */
    noteReturn(link: WorkerLink): void {
        for (const { key, loss } of this.unexplainedLosses(link.entry.name)) {
            this.push(key, { ...loss, verdict: LossVerdict.Cleared });
        }
    }

    /** Whether another loss of the task may be excused. */
    mayExcuse(task: TaskRecord | undefined): boolean {
        const excused = task?.losses.filter(({ verdict }) => verdict === LossVerdict.Excused) ?? [];
        return excused.length < MaxExcused;
    }

    /** Whether a worker was lost with most of its rack or cell, or is about to be taken away as planned. */
    isWideOrPlanned(link: WorkerLink): boolean {
        return this.isPlannedLoss(link) || isLostWithMost(link, [...this.parts.workers.all]);
    }

    /** Losses on a worker of which it is not known whether it crashed. */
    private unexplainedLosses(worker: string): TaskLoss[] {
        const found = [...this.queuedLosses].filter(({ loss }) => loss.worker === worker);
        for (const key of this.parts.state.lossy) {
            for (const loss of this.parts.state.get(key)?.losses ?? []) {
                if (loss.worker === worker && loss.verdict === LossVerdict.Lost) {
                    found.push({ key, loss });
                }
            }
        }
        return found;
    }

    /** Records a verdict. Resolves to whether it is durable. */
    record(key: string, loss: AttemptLoss): Promise<boolean> {
        return new Promise(resolve => this.push(key, loss, resolve));
    }

    /** Whether the worker is about to be taken away, so that its end is no sign of a crash. */
    private isPlannedLoss(link: WorkerLink): boolean {
        return link.state.isLeaving || this.parts.state.workerMode(link.entry.name) === WorkerMode.Drained;
    }

    private isNoted({ key, attempt }: Attempt): boolean {
        const losses = this.parts.state.get(key)?.losses ?? [];
        return losses.some(loss => loss.attempt === attempt);
    }

    private push(key: string, loss: AttemptLoss, onSettled?: (isDurable: boolean) => void): void {
        this.parts.owner.record({ kind: "attempt-loss", key, ...loss }, result => onSettled?.(result.isOk()));
    }

    private lossOf(link: WorkerLink, attempt: Attempt, verdict: LossVerdict): AttemptLoss {
        const ranMs = attempt.runningSinceMs === 0 ? 0 : this.parts.nowMs() - attempt.runningSinceMs;
        return { attempt: attempt.attempt, worker: link.entry.name, verdict, ranMs: Math.round(ranMs) };
    }
}

/** Whether the attempt may have been running when its worker was lost. */
const mayHaveRun = (attempt: Attempt): boolean =>
    !attempt.wasRefused &&
    attempt.phase !== AttemptPhase.ToStart &&
    attempt.phase !== AttemptPhase.Stopped &&
    attempt.phase !== AttemptPhase.Ended;
