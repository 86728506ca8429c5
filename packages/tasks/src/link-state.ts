import type { Clock } from "@samphireward/core/clock";
import type { CodedError } from "@samphireward/core/coded-error";
import { describeCode } from "@samphireward/core/describe-code";
import { Outcome } from "@samphireward/core/outcome";
import { ResultCode } from "@samphireward/core/result-code";
import type { OwnerTiming } from "./owner-timing.js";
import type { Recorder } from "./recorder.js";

/** What the owner knows about a worker from its calls. */
export class LinkState {
    /** The directory does not list the worker any more. */
    gone = false;
    leaving = false;
    /** The worker has seen this owner's epoch since it was listed last. */
    announced = false;
    /** The worker has seen this owner's epoch at least once. */
    fenced = false;
    /** When the worker is asked next what it runs; `Infinity` while that is known. */
    inventoryDueMs = 0;
    nextRenewMs = 0;
    retryAtMs = 0;
    private inventoried = false;
    private answers = false;

    private constructor(
        private readonly worker: string,
        private readonly recorder: Recorder,
        readonly clock: Clock,
        readonly timing: OwnerTiming,
    ) {}

    static create(worker: string, recorder: Recorder, clock: Clock, timing: OwnerTiming): LinkState {
        return new LinkState(worker, recorder, clock, timing);
    }

    /** The last call was answered. */
    get reachable(): boolean {
        return this.answers;
    }

    /** Whether new tasks may be sent as far as the calls to the worker tell. */
    get usable(): boolean {
        return this.answers && this.fenced && this.inventoried && !this.gone && !this.leaving;
    }

    setReachable(reachable: boolean): void {
        if (this.answers !== reachable) {
            this.answers = reachable;
            this.recorder.workerChanged();
        }
    }

    /** No task is placed here until the worker has said what it runs. */
    requestInventory(): void {
        this.inventoried = false;
        this.inventoryDueMs = 0;
        this.recorder.workerChanged();
    }

    /** The worker has said what it runs; it is asked again at `dueMs`. */
    setInventoried(dueMs: number): void {
        this.inventoried = true;
        this.inventoryDueMs = dueMs;
        this.recorder.workerChanged();
    }

    /**
     * Handles a call's error and returns whether the worker did not answer. After `delays` the next call waits,
     * so that a worker that refuses everything is not asked without a pause.
     */
    failed(err: CodedError, delays = true): boolean {
        if (err.code === ResultCode.StaleEpoch) {
            this.recorder.depose(`worker ${this.worker} has seen a higher epoch`);
            return false;
        }
        const silent =
            err.code === ResultCode.NoTargetReachable ||
            describeCode(err.code).outcome === Outcome.MayHaveRun;
        if (silent || delays) {
            this.retryAtMs = this.clock.nowMs() + this.timing.retryMs;
        }
        if (silent) {
            this.setReachable(false);
            this.nextRenewMs = 0;
        }
        return silent;
    }
}
