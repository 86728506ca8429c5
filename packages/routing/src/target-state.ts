import type { Clock } from "@samphireward/core/clock";
import { ConnectionPool } from "./connection-pool.js";
import type { RequestSettings } from "./request-settings.js";
import type { WorkerShare } from "./worker-share.js";

/** Weight of the newest result in the failure ratio: five failures in a row give 0.67. */
const NewestWeight = 0.2;
/** Slots that a target which fails everything seems to have in use, so that fast failures attract no work. */
const PenaltySlots = 8;
const FirstEjectionMs = 2_000;
const LongestEjectionMs = 60_000;
/** Lost targets return as soon as they are started again, and trying one costs a connection and no request. */
const LongestUnreachableMs = 4_000;
/** A target whose last connection failed is passed over for this long while another one has room. */
const SuspectMs = 1_000;

/** What this entry process knows about one target: its share, connections, failures, and ramp. */
export class TargetState {
    readonly connections: ConnectionPool;
    failureRatio = 0;
    results = 0;
    /** Failed connections since the last result of another kind. */
    unreachableInRow = 0;
    private lastUnreachableMs = -Infinity;
    private rampSlots = 1;
    private ejectedUntilMs = 0;
    private ejections = 0;
    isProbing = false;

    private constructor(
        readonly share: WorkerShare,
        private readonly clock: Clock,
        settings: RequestSettings,
    ) {
        this.connections = ConnectionPool.create(share, clock, settings);
    }

    static create(share: WorkerShare, clock: Clock, settings: RequestSettings): TargetState {
        return new TargetState(share, clock, settings);
    }

    isEjected(nowMs: number): boolean {
        return nowMs < this.ejectedUntilMs;
    }

    /** Whether the last connection failed a short time ago. */
    isSuspect(nowMs: number): boolean {
        return this.unreachableInRow > 0 && nowMs - this.lastUnreachableMs < SuspectMs;
    }

    hasFreeSlot(nowMs: number): boolean {
        const limit = Math.min(this.rampSlots, this.share.slots);
        return this.share.isUsable(nowMs) && this.share.slotsInUse < limit && !this.isEjected(nowMs);
    }

    tryTakeSlot(nowMs: number): boolean {
        return !this.isEjected(nowMs) && this.share.tryTakeSlot(nowMs, this.rampSlots);
    }

    /** Lower is better. */
    get load(): number {
        const used = this.share.slotsInUse + PenaltySlots * this.failureRatio;
        return used / Math.min(this.rampSlots, this.share.slots);
    }

    countSuccess(): void {
        this.countResult(0);
        this.rampSlots = Math.min(this.share.slots, this.rampSlots + 1);
        if (this.failureRatio < 0.01) {
            this.ejections = 0;
        }
    }

    countFailure(): void {
        this.countResult(1);
    }

    /** No connection could be opened. When the target returns, it starts with one slot. */
    countUnreachable(): void {
        const inRow = this.unreachableInRow;
        this.countResult(1);
        this.unreachableInRow = inRow + 1;
        this.lastUnreachableMs = this.clock.nowMs();
        this.rampSlots = 1;
    }

    /** Takes the target out for a time that doubles with each ejection in a row; it returns with one slot. */
    eject(): void {
        const longestMs = this.unreachableInRow > 0 ? LongestUnreachableMs : LongestEjectionMs;
        const durationMs = Math.min(longestMs, FirstEjectionMs * 2 ** this.ejections);
        this.ejections += 1;
        this.ejectedUntilMs = this.clock.nowMs() + durationMs;
        this.rampSlots = 1;
        this.results = 0;
    }

    private countResult(failure: 0 | 1): void {
        this.failureRatio += NewestWeight * (failure - this.failureRatio);
        this.results += 1;
        this.unreachableInRow = 0;
    }
}
