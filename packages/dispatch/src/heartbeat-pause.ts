/** Pause between two heartbeats to a worker, so that one response reports ends in quick succession. */
const MinPauseMs = 90;
/** Workers that are asked less often than this would be noticed late when they fall silent. */
const MaxPauseMs = 600;
/** Pause relative to the lateness of the thread, which delays the ends in a response anyway. */
const LatenessRatio = 2;
/** Weight of a new sample in the mean lateness. */
const SampleWeight = 0.3;

/**
 * Decides how long a worker is left alone between two heartbeats. Heartbeats are most of the calls of a cell's owner. When
 * its thread is late, longer pauses let one response report more ends, and leave the thread to the orders.
 */
export class HeartbeatPause {
    private latenessMs = 0;

    private constructor() {}

    static create(): HeartbeatPause {
        return new HeartbeatPause();
    }

    /** Pause before the next heartbeat, in milliseconds. */
    get nextMs(): number {
        return Math.min(MaxPauseMs, Math.max(MinPauseMs, this.latenessMs * LatenessRatio));
    }

    /** Records by how much a periodic timer of the thread was late. */
    record(latenessMs: number): void {
        this.latenessMs += (latenessMs - this.latenessMs) * SampleWeight;
    }
}
