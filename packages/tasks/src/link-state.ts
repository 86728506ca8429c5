import type { Clock } from "@samphireward/core/clock";
import type { CodedError } from "@samphireward/core/coded-error";
import { describeCode } from "@samphireward/core/describe-code";
import { Outcome } from "@samphireward/core/outcome";
import { ResultCode } from "@samphireward/core/result-code";
import type { OwnerTiming } from "./owner-timing.js";
import type { OwnerContext } from "./owner-context.js";

/** What the owner knows about a worker from its calls. */
export class LinkState {
    /** The directory does not list the worker any more. */
    isGone = false;
    isLeaving = false;
    /** The worker has seen this owner's epoch since it was listed last. */
    isEpochAnnounced = false;
    /** The worker has seen this owner's epoch at least once. */
    isFenced = false;
    /** When the worker is asked next what it runs; `Infinity` while that is known. */
    inventoryDueMs = 0;
    renewDueMs = 0;
    retryAtMs = 0;
    private isInventoryKnown = false;
    private lastCallAnswered = false;

    private constructor(
        private readonly worker: string,
        private readonly owner: OwnerContext,
        readonly clock: Clock,
        readonly timing: OwnerTiming,
    ) {}

    static create(worker: string, recorder: OwnerContext, clock: Clock, timing: OwnerTiming): LinkState {
        return new LinkState(worker, recorder, clock, timing);
    }

    /** The last call was answered. */
    get isReachable(): boolean {
        return this.lastCallAnswered;
    }

    /** Whether new tasks may be sent as far as the calls to the worker tell. */
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

    /** No task is placed here until the worker has said what it runs. */
    requestInventory(): void {
        this.isInventoryKnown = false;
        this.inventoryDueMs = 0;
        this.owner.onWorkerChanged();
    }

    /** The worker has said what it runs; it is asked again at `dueMs`. */
    markInventoryKnown(dueMs: number): void {
        this.isInventoryKnown = true;
        this.inventoryDueMs = dueMs;
        this.owner.onWorkerChanged();
    }

    /**
     * Handles a call's error and returns whether the worker did not answer. After `delays` the next call waits,
     * so that a worker that refuses everything is not asked without a pause.
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
            this.setReachable(false);
            this.renewDueMs = 0;
        }
        return isUnanswered;
    }
}
