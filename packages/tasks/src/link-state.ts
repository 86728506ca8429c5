import type { Clock } from "@samphireward/core/clock";
import type { CodedError } from "@samphireward/core/coded-error";
import { describeCode } from "@samphireward/core/describe-code";
import { Outcome } from "@samphireward/core/outcome";
import { ResultCode } from "@samphireward/core/result-code";
import type { OwnerTiming } from "./owner-timing.js";
import type { OwnerContext } from "./owner-context.js";

/** State of a worker as the owner knows it from the directory and from its calls to the worker. */
export class LinkState {
    /** The directory no longer lists the worker. */
    isGone = false;
    isLeaving = false;
    /** The worker has seen this owner's epoch since the directory last began to list it. */
    isEpochAnnounced = false;
    /** The worker has seen this owner's epoch at least once. */
    isFenced = false;
    /** When the worker is next asked which tasks it runs; `Infinity` while that is known. */
    inventoryDueMs = 0;
    renewDueMs = 0;
    retryAtMs = 0;
    /** Whether the worker was asked, since its last unanswered call, if it still has its tasks. */
    isIncarnationKnown = false;
    /** When the worker stopped answering, or restarted without that; kept after it answers again. */
    silentSinceMs = -Infinity;
    /** When this owner noticed the worker's last restart. */
    restartedMs = -Infinity;
    private highestEpoch = 0;
    private isInventoryKnown = false;
    private lastCallAnswered = false;

    private constructor(
        private readonly worker: string,
        private readonly owner: OwnerContext,
        readonly clock: Clock,
        readonly timing: OwnerTiming,
    ) {}

    static create(worker: string, owner: OwnerContext, clock: Clock, timing: OwnerTiming): LinkState {
        return new LinkState(worker, owner, clock, timing);
    }

    /** Whether the worker answered the last call. */
    get isReachable(): boolean {
        return this.lastCallAnswered;
    }

    /** Whether new tasks may be sent, as far as the directory and the worker's answers show. */
    get isUsable(): boolean {
        return (
            this.lastCallAnswered && this.isFenced && this.isInventoryKnown && !this.isGone && !this.isLeaving
        );
    }

    setReachable(reachable: boolean): void {
        if (this.lastCallAnswered !== reachable) {
            this.lastCallAnswered = reachable;
            this.owner.onWorkerChanged();
        }
    }

    /** Notes the epoch that the worker reports. Returns whether it has restarted, by which it has lost the epoch. */
    noteEpoch(epoch: number): boolean {
        const hasRestarted = epoch === 0 || epoch < this.highestEpoch;
        this.highestEpoch = epoch;
        return hasRestarted;
    }

    markRestarted(): void {
        const nowMs = this.clock.nowMs();
        this.restartedMs = nowMs;
        this.silentSinceMs = this.lastCallAnswered || this.silentSinceMs < 0 ? nowMs : this.silentSinceMs;
    }

    /** Requests an inventory. No task is placed on the worker until it has reported which tasks it runs. */
    requestInventory(): void {
        this.isInventoryKnown = false;
        this.inventoryDueMs = 0;
        this.owner.onWorkerChanged();
    }

    /** Notes that the worker has reported which tasks it runs; it is asked again at `dueMs`. */
    markInventoryKnown(dueMs: number): void {
        this.isInventoryKnown = true;
        this.inventoryDueMs = dueMs;
        this.owner.onWorkerChanged();
    }

    /** Notes that the worker does not answer. It may have lost its tasks by the time it answers again. */
    markSilent(): void {
        if (this.lastCallAnswered || this.silentSinceMs < 0) {
            this.silentSinceMs = this.clock.nowMs();
        }
        this.isIncarnationKnown = false;
    }

    /**
     * Handles a call's error and returns whether the worker gave no answer. With `delayNextCall` a refusal
     * also delays the next call, so that a worker that refuses everything is not called in a tight loop.
     */
    handleCallError(err: CodedError, delayNextCall = true): boolean {
        if (err.code === ResultCode.StaleEpoch) {
            this.owner.depose(`worker ${this.worker} has seen a higher epoch`);
            return false;
        }
        const isUnanswered =
            err.code === ResultCode.NoTargetReachable ||
            describeCode(err.code).outcome === Outcome.MayHaveRun;
        if (isUnanswered || delayNextCall) {
            this.retryAtMs = this.clock.nowMs() + this.timing.retryDelayMs;
        }
        if (isUnanswered) {
            this.markSilent();
            this.setReachable(false);
            this.renewDueMs = 0;
        }
        return isUnanswered;
    }
}
