/** Time for which changes are collected before orders are planned. */
const MinDelayMs = 6;
/** Urgent tasks wait at most this much longer for a plan, however long plans take. */
const MaxPauseMs = 60;
/** Pause relative to the duration of the last plan, by which plans take at most a third of the thread. */
const PauseRatio = 2;

/**
 * Delay from a change to the next plan. A plan takes the longer, the more workers and waiting tasks there are, and the
 * heartbeats and responses that free capacity need the same thread. Time that these have had since the last plan counts,
 * so that a change some time after it is planned for almost at once.
 */
export class PlanDelay {
    private nextAtMs = -Infinity;

    private constructor() {}

    static create(): PlanDelay {
        return new PlanDelay();
    }

    /** Delay of a plan for a change at `nowMs`, in milliseconds. */
    from(nowMs: number): number {
        return Math.max(MinDelayMs, this.nextAtMs - nowMs);
    }

    /** Records a plan that has just ended, and its duration. */
    record(tookMs: number, endedAtMs: number): void {
        this.nextAtMs = endedAtMs + Math.min(MaxPauseMs, tookMs * PauseRatio);
    }
}
