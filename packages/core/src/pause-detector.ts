import type { Clock } from "./clock.js";

const CheckIntervalMs = 250;
/** Shorter times without a check are those of a busy process. */
const MinPauseMs = 1_000;
/** Time after a pause in which a process reads what arrived during it. */
const CatchUpMs = 500;

/** A time in which the process read nothing, on the monotonic clock. */
interface Pause {
    readonly startMs: number;
    readonly endMs: number;
}

/**
 * Notices when the process was stopped for a while, for example with its VM. What it reads afterwards may have arrived at
 * any time since then, and its sender may have given up.
 */
export class PauseDetector {
    private lastCheckMs: number;
    private pause: Pause | undefined;
    private timer: NodeJS.Timeout | undefined;

    private constructor(private readonly clock: Clock) {
        this.lastCheckMs = clock.nowMs();
    }

    static create(clock: Clock): PauseDetector {
        return new PauseDetector(clock);
    }

    /** Begins to check; until then, no pause is noticed. */
    start(): void {
        this.lastCheckMs = this.clock.nowMs();
        this.timer = setInterval(() => this.check(), CheckIntervalMs);
        this.timer.unref();
    }

    close(): void {
        clearInterval(this.timer);
        this.timer = undefined;
    }

    /**
     * Earliest time at which data that is read now may have arrived, on the monotonic clock: the beginning of a pause that
     * has just ended, or now. Data of which an earlier part was read before may have arrived earlier.
     */
    earliestArrivalMs(): number {
        const nowMs = this.check();
        return this.pause !== undefined && nowMs - this.pause.endMs <= CatchUpMs ? this.pause.startMs : nowMs;
    }

    private check(): number {
        const nowMs = this.clock.nowMs();
        if (this.timer !== undefined && nowMs - this.lastCheckMs >= MinPauseMs) {
            this.pause = { startMs: this.lastCheckMs, endMs: nowMs };
        }
        this.lastCheckMs = nowMs;
        return nowMs;
    }
}
