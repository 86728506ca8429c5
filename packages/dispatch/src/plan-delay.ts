/** Time for which changes are collected before orders are planned. */
const MinDelayMs = 6;
/** Urgent tasks wait at most this much longer for a plan, however long plans take. */
const MaxDelayMs = 60;
/** Delay relative to the duration of the last plan, by which plans take at most a third of the thread. */
const DelayRatio = 2;

/**
 * Delay from a change to the next plan. A plan takes the longer, the more workers and waiting tasks there are, and the
 * heartbeats and responses that free capacity need the same thread.
 */
export class PlanDelay {
    private delayMs = MinDelayMs;

    private constructor() {}

    static create(): PlanDelay {
        return new PlanDelay();
    }

    /** Delay of the next plan, in milliseconds. */
    get nextMs(): number {
        return this.delayMs;
    }

    /** Records the duration of a plan. */
    record(tookMs: number): void {
        this.delayMs = Math.min(MaxDelayMs, Math.max(MinDelayMs, tookMs * DelayRatio));
    }
}
