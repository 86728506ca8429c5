import { CopyBudget } from "./copy-budget.js";
import { CopyOutcome } from "./copy-outcome.js";
import { EndKind } from "./end-kind.js";
import type { EndObserver } from "./end-observer.js";
import type { RunEnd } from "./run-end.js";
import type { Run } from "./run.js";

const outcomeOf = (copy: Run, end: RunEnd, wins: boolean): CopyOutcome => {
    if (wins) {
        return CopyOutcome.Won;
    }
    if (end.kind === EndKind.Failed) {
        return CopyOutcome.Failed;
    }
    const isLost = end.kind === EndKind.Lapsed && copy.stopConfirmedAtMs === 0;
    return isLost ? CopyOutcome.Lapsed : CopyOutcome.Stopped;
};

const insertSorted = (values: number[], value: number): void => {
    const index = values.findIndex(other => other > value);
    values.splice(index === -1 ? values.length : index, 0, value);
};

/** The speculative copies of a cell that have not ended, and what copies have cost. */
export class CopyRuns {
    readonly budget = CopyBudget.create();
    /** Processor time that each open copy may waste, in processor-milliseconds, as expected when it was started. */
    private readonly atRisk = new Map<Run, number>();
    /** Originals whose copy has ended as done. */
    private readonly overtaken = new Set<Run>();

    private constructor(private readonly observer: EndObserver) {}

    static create(observer: EndObserver): CopyRuns {
        return new CopyRuns(observer);
    }

    /** Copies that have not ended, including those that are being stopped. */
    get open(): readonly Run[] {
        return [...this.atRisk.keys()];
    }

    get openCount(): number {
        return this.atRisk.size;
    }

    /** Processors that copies reserve. */
    get processors(): number {
        return this.open.reduce((sum, { reservation }) => sum + reservation.processors, 0);
    }

    /** Processor time that the open copies may waste, in processor-milliseconds. */
    get atRiskProcessorMs(): number {
        return [...this.atRisk.values()].reduce((sum, processorMs) => sum + processorMs, 0);
    }

    /** Records a copy whose start is ordered; `atRiskProcessorMs` is the processor time that it may waste. */
    start(copy: Run, atRiskProcessorMs: number): void {
        copy.isCopy = true;
        this.atRisk.set(copy, atRiskProcessorMs);
        this.observer.onCopy?.(copy, CopyOutcome.Started);
    }

    /** Records one of two runs of a task that a new owner found as the copy. */
    adopt(copy: Run): void {
        copy.task.hasBeenCopied = true;
        const { spec } = copy.task.step;
        this.start(copy, copy.reservation.processors * spec.estimatedMs);
    }

    /** Records that a run was removed without having been confirmed. */
    withdraw(run: Run): void {
        this.overtaken.delete(run);
        if (run.isCopy) {
            this.close(run, CopyOutcome.Withdrawn);
        }
    }

    /** Records the end of a run of a speculative step; to be called between its removal and its effect on the task. */
    noteEnd(run: Run, end: RunEnd, nowMs: number): void {
        const { task } = run;
        const wins =
            end.kind === EndKind.Done && !task.isDone && task.step.occurrence.job.endState === undefined;
        const processorMs = run.reservation.processors * Math.max(0, nowMs - run.startedAtMs);
        if (wins) {
            if (!run.isAdopted) {
                insertSorted(task.step.doneDurationsMs, nowMs - run.startedAtMs);
            }
            this.budget.addWork(processorMs, nowMs);
            if (run.isCopy && task.run !== undefined) {
                this.overtaken.add(task.run);
            }
        } else if (run.confirmedAtMs > 0 && (this.overtaken.has(run) || this.atRisk.has(run))) {
            this.budget.addWaste(processorMs, nowMs);
            this.observer.onCopyWaste?.(processorMs);
        }
        this.overtaken.delete(run);
        if (run.isCopy) {
            task.hasBeenCopied ||= run.confirmedAtMs > 0;
            this.close(run, outcomeOf(run, end, wins));
        }
    }

    private close(copy: Run, outcome: CopyOutcome): void {
        if (this.atRisk.delete(copy)) {
            this.observer.onCopy?.(copy, outcome);
        }
    }
}
