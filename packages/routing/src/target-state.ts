import type { Clock } from "@samphireward/core/clock";
import { ConnectionPool } from "./connection-pool.js";
import type { RequestSettings } from "./request-settings.js";
import type { WorkerShare } from "./worker-share.js";

/** Weight of the newest result in the failure ratio: five failures in a row give 0.67. */
const SmoothingFactor = 0.2;
/** Slots added to the load of a target at a failure ratio of 1, so that fast failures do not attract requests. */
const PenaltySlots = 8;
const InitialEjectionMs = 2_000;
const MaxEjectionMs = 60_000;
/** Limit for unreachable targets: they return once restarted, and trying one costs a connection but no request. */
const MaxUnreachableEjectionMs = 4_000;
/** Time after a connect failure during which a target is used only if no other one has a free slot. */
const SuspectDurationMs = 1_000;

/** The state of one target in this entry process: share, connections, failures, and slow start. */
export class TargetState {
    readonly connections: ConnectionPool;
    failureRatio = 0;
    resultCount = 0;
    /** Connect failures since the last result of another kind. */
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

    /** Whether the last connection attempt failed recently. */
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

    /** Used slots, including the failure penalty, relative to the slot limit. Lower is better. */
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

    /** Counts a connection that could not be opened. When the target is reachable again, it starts with one slot. */
    countConnectFailure(): void {
        const previousFailures = this.consecutiveConnectFailures;
        this.countResult(1);
        this.consecutiveConnectFailures = previousFailures + 1;
        this.lastConnectFailureAtMs = this.clock.nowMs();
        this.slowStartSlots = 1;
    }

    /** Ejects the target for a time that doubles with each consecutive ejection; it returns with one slot. */
    eject(): void {
        const maxEjectionMs = this.consecutiveConnectFailures > 0 ? MaxUnreachableEjectionMs : MaxEjectionMs;
        const durationMs = Math.min(maxEjectionMs, InitialEjectionMs * 2 ** this.consecutiveEjections);
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
