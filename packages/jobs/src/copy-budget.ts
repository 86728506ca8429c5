/** Share of the processor time of runs that ended as done that copies may waste. */
const MaxWasteShare = 0.1;
/** Processor-milliseconds that may be wasted in addition, so that an owner without a history can start copies. */
const AllowanceProcessorMs = 20_000;
/** Time constant with which work and waste are forgotten; without it, hours of work would allow a burst of waste. */
const AverageMs = 60_000;
/** Share of the processors of the reachable workers that copies may reserve. A single copy may always run. */
const MaxProcessorShare = 0.05;

/** Bounds the processors that copies reserve and the processor time that they waste. The time is passed in. */
export class CopyBudget {
    private workProcessorMs = 0;
    private wastedProcessorMs = 0;
    private updatedAtMs = -Infinity;

    private constructor() {}

    static create(): CopyBudget {
        return new CopyBudget();
    }

    /** Records the processor time of a run that ended as done. */
    addWork(processorMs: number, nowMs: number): void {
        this.forget(nowMs);
        this.workProcessorMs += processorMs;
    }

    /** Records the processor time of a run that was of no use because its task had another one. */
    addWaste(processorMs: number, nowMs: number): void {
        this.forget(nowMs);
        this.wastedProcessorMs += processorMs;
    }

    /** Whether copies that may waste `atRiskProcessorMs` in total, with the one to be started, are within the bound. */
    allowsWaste(atRiskProcessorMs: number, nowMs: number): boolean {
        this.forget(nowMs);
        const limit = AllowanceProcessorMs + MaxWasteShare * this.workProcessorMs;
        return this.wastedProcessorMs + atRiskProcessorMs <= limit;
    }

    /** Whether one more copy fits in the share of a cell's processors; `reserved` is what the others have. */
    static allowsProcessors(reserved: number, added: number, ofCell: number): boolean {
        return reserved === 0 || reserved + added <= MaxProcessorShare * ofCell;
    }

    private forget(nowMs: number): void {
        const factor = Math.exp(-Math.max(0, nowMs - this.updatedAtMs) / AverageMs);
        this.workProcessorMs *= factor;
        this.wastedProcessorMs *= factor;
        this.updatedAtMs = nowMs;
    }
}
