import type { Clock } from "@samphireward/core/clock";
import { ConnectionPool } from "./connection-pool.js";
import type { RequestSettings } from "./request-settings.js";
import type { WorkerShare } from "./worker-share.js";

/** Weight of the newest result in the failure ratio: five failures in a row give 0.67. */
const SmoothingFactor = 0.2;
/** Slots that a target which fails everything seems to have in use, so that fast failures attract no work. */
const PenaltySlots = 8;
const InitialEjectionMs = 2_000;
const MaxEjectionMs = 60_000;
/** Lost targets return as soon as they are started again, and trying one costs a connection and no request. */
const MaxUnreachableEjectionMs = 4_000;
/** A target whose last connection failed is passed over for this long while another one has room. */
const SuspectDurationMs = 1_000;

/** What this entry process knows about one target: its share, connections, failures, and ramp. */
export class TargetState {
    readonly connections: ConnectionPool;
    failureRatio = 0;
    resultCount = 0;
    /** Failed connections since the last result of another kind. */
    consecutiveConnectFailures = 0;
    private lastConnectFailureAtMs = -Infinity;
    private slowStartSlots = 1;
    private ejectedUntilMs = 0;
    private consecutiveEjections = 0;
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
        return this.consecutiveConnectFailures > 0 && nowMs - this.lastConnectFailureAtMs < SuspectDurationMs;
    }

    hasFreeSlot(nowMs: number): boolean {
        const limit = Math.min(this.slowStartSlots, this.share.slots);
        return this.share.isUsable(nowMs) && this.share.slotsInUse < limit && !this.isEjected(nowMs);
    }

    tryTakeSlot(nowMs: number): boolean {
        return !this.isEjected(nowMs) && this.share.tryTakeSlot(nowMs, this.slowStartSlots);
    }

    /** Lower is better. */
    get load(): number {
        const used = this.share.slotsInUse + PenaltySlots * this.failureRatio;
        return used / Math.min(this.slowStartSlots, this.share.slots);
    }

    countSuccess(): void {
        this.countResult(0);
        this.slowStartSlots = Math.min(this.share.slots, this.slowStartSlots + 1);
        if (this.failureRatio < 0.01) {
            this.consecutiveEjections = 0;
        }
    }

    countFailure(): void {
        this.countResult(1);
    }

    /** No connection could be opened. When the target returns, it starts with one slot. */
    countConnectFailure(): void {
        const inRow = this.consecutiveConnectFailures;
        this.countResult(1);
        this.consecutiveConnectFailures = inRow + 1;
        this.lastConnectFailureAtMs = this.clock.nowMs();
        this.slowStartSlots = 1;
    }

    /** Takes the target out for a time that doubles with each ejection in a row; it returns with one slot. */
    eject(): void {
        const longestMs = this.consecutiveConnectFailures > 0 ? MaxUnreachableEjectionMs : MaxEjectionMs;
        const durationMs = Math.min(longestMs, InitialEjectionMs * 2 ** this.consecutiveEjections);
        this.consecutiveEjections += 1;
        this.ejectedUntilMs = this.clock.nowMs() + durationMs;
        this.slowStartSlots = 1;
        this.resultCount = 0;
    }

    private countResult(failure: 0 | 1): void {
        this.failureRatio += SmoothingFactor * (failure - this.failureRatio);
        this.resultCount += 1;
        this.consecutiveConnectFailures = 0;
    }
}
