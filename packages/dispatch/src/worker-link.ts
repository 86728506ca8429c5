import type { Clock } from "@samphireward/core/clock";
import type { CellScheduler } from "@samphireward/jobs/cell-scheduler";
import { maxLeaseDurationMs } from "@samphireward/jobs/max-lease-duration-ms";
import type { Run } from "@samphireward/jobs/run";
import { RunPhase } from "@samphireward/jobs/run-phase";
import { StartOutcome } from "@samphireward/jobs/start-outcome";
import type { StopReason } from "@samphireward/jobs/stop-reason";
import type { WorkerIncarnation } from "@samphireward/jobs/worker-incarnation";
import { Err } from "ts-results-es";
import type { EventLog } from "./event-log.js";
import { HeartbeatOutcome } from "./heartbeat-outcome.js";
import type { HeartbeatPause } from "./heartbeat-pause.js";
import type { HeartbeatResponse } from "./heartbeat-response.js";
import type { LinkListener } from "./link-listener.js";
import type { Metrics } from "./metrics.js";
import { OrderFailure } from "./order-failure.js";
import type { OwnershipProof } from "./ownership-proof.js";
import { recordHeartbeat } from "./record-heartbeat.js";
import { resultWithin } from "./result-within.js";
import { runInBackground } from "./run-in-background.js";
import { sleep } from "./sleep.js";
import type { StopLog } from "./stop-log.js";
import type { WorkerClient } from "./worker-client.js";

/** Longest time that a worker waits for a run to end before it responds to a heartbeat. */
const HeartbeatWaitMs = 1_400;
/** The same for workers with fillers beside serving tasks, whose tail latency determines the pace of the fillers. */
const ServingHeartbeatWaitMs = 600;
/** Time beyond the wait that was asked for, after which a worker without a response counts as unreachable. */
const HeartbeatSlackMs = 800;
const RetryDelayMs = 250;
/** An owner whose last proof of its ownership is older extends no leases and starts nothing. */
const MaxProofAgeMs = 2_500;

type HeartbeatResult = Awaited<ReturnType<WorkerClient["heartbeat"]>>;

/** Dependencies provided by the cell's owner. */
interface LinkContext {
    readonly scheduler: CellScheduler;
    readonly clock: Clock;
    readonly log: EventLog;
    readonly stopLog: StopLog;
    readonly metrics: Metrics;
    readonly fencingToken: number;
    readonly leaseMs: number;
    readonly proof: Pick<OwnershipProof, "provenAtMs">;
    readonly heartbeatPause: HeartbeatPause;
    readonly listener: LinkListener;
}

/** Link to one incarnation of a worker: renews its lease, reads its runs and sends it orders. */
export class WorkerLink {
    private readonly abort = new AbortController();
    /** Lower bound of the worker's clock minus this process's clock, in milliseconds. */
    private clockOffsetMs: number | undefined;
    /** Monotonic time at which `clockOffsetMs` was determined. */
    private clockReadAtMs = 0;
    private wasReachable = false;

    private constructor(
        private readonly worker: WorkerIncarnation,
        private readonly client: WorkerClient,
        private readonly context: LinkContext,
    ) {}

    static create(worker: WorkerIncarnation, client: WorkerClient, context: LinkContext): WorkerLink {
        return new WorkerLink(worker, client, context);
    }

    /** Sends heartbeats until `close`. */
    async run(): Promise<void> {
        while (!this.abort.signal.aborted) {
            const hasResponse = await this.sendHeartbeat();
            const pauseMs = hasResponse ? this.context.heartbeatPause.nextMs : RetryDelayMs;
            await sleep(pauseMs, this.abort.signal);
        }
    }

    close(): void {
        this.abort.abort();
        this.client.close();
    }

    async start(run: Run): Promise<void> {
        const { scheduler, fencingToken, listener, log, clock, metrics } = this.context;
        const deadlineMs = this.leaseDeadlineMs();
        if (deadlineMs === undefined) {
            scheduler.responses.recordStart(run, StartOutcome.Refused);
            return;
        }
        const sentAtMs = clock.nowMs();
        scheduler.noteLeaseExtension(this.worker);
        const { outcome, clockMs } = await this.client.start(run, fencingToken, deadlineMs);
        if (clockMs !== undefined) {
            this.noteClock(clockMs, deadlineMs);
        }
        scheduler.responses.recordStart(run, outcome);
        metrics.starts.inc({ outcome });
        metrics.startSeconds.observe((clock.nowMs() - sentAtMs) / 1_000);
        log.write("start", {
            task: run.task.name,
            run: run.number,
            worker: this.worker.entry.id,
            bornMs: this.worker.entry.startedAtMs,
            outcome,
            epoch: fencingToken,
            tookMs: Math.round(clock.nowMs() - sentAtMs),
        });
        if (outcome === StartOutcome.Fenced) {
            listener.onFenced(this.worker);
        } else if (outcome !== StartOutcome.Started || this.startsBelowFullPace(run)) {
            listener.onChange();
        }
    }

    /**
     * Counts the lease that a start has left. The clock of an incarnation that this link does not know is behind, so that
     * the deadline is far ahead there; nothing is sent by the known clock then, until a heartbeat shows the incarnation.
     */
    private noteClock(clockMs: number, deadlineMs: number): void {
        const { scheduler, leaseMs, log } = this.context;
        const leaseLeftMs = deadlineMs - clockMs;
        scheduler.noteLeaseExtension(this.worker, leaseLeftMs);
        if (leaseLeftMs > maxLeaseDurationMs(leaseMs)) {
            this.clockOffsetMs = undefined;
            const { id, startedAtMs: bornMs } = this.worker.entry;
            log.write("worker-clock-behind", { worker: id, bornMs, leaseLeftMs, leaseMs });
        }
    }

    async stop(task: string, number: number, reason: StopReason): Promise<void> {
        const { scheduler, fencingToken, stopLog, metrics } = this.context;
        const result = await this.client.stop(task, number, fencingToken);
        const outcome = result.isOk() ? "stopped" : result.error;
        metrics.stops.inc({ outcome });
        stopLog.record({ worker: this.worker, task, number, reason, outcome });
        if (result.isOk()) {
            scheduler.responses.recordStop(this.worker, task, number);
        }
        this.reportIfFenced(result.isErr() ? result.error : undefined);
    }

    async pace(run: Run, percent: number): Promise<void> {
        const { scheduler, fencingToken } = this.context;
        scheduler.responses.recordPace(run, percent);
        const outcome = await this.client.pace(run, percent, fencingToken);
        if (outcome.isErr() && run.phase === RunPhase.Running) {
            // The worker's pace is not known, so that the next plan orders it again.
            scheduler.responses.recordPace(run, -1);
            this.reportIfFenced(outcome.error);
        }
    }

    private async sendHeartbeat(): Promise<boolean> {
        const { clock, scheduler, fencingToken, leaseMs, log, metrics } = this.context;
        const sentAtMs = clock.nowMs();
        // A heartbeat to an unreachable worker does not extend its lease, so that runs which may still be there come
        // to an end. Nor does it acknowledge ends: after a restart their numbers begin anew.
        const { isReachable, lastDurableEndSequence } = this.worker;
        const deadlineMs = isReachable ? this.leaseDeadlineMs() : undefined;
        if (deadlineMs !== undefined) {
            scheduler.noteLeaseExtension(this.worker);
        }
        const waitMs = this.heartbeatWaitMs();
        const response = this.client.heartbeat({
            fencingToken,
            lastDurableEndSequence: isReachable ? lastDurableEndSequence : 0,
            deadlineMs,
            waitMs,
            // A response that comes later cannot prevent that the lease expires.
            timeoutMs: waitMs + leaseMs,
        });
        const inTime = await resultWithin(response, waitMs + HeartbeatSlackMs);
        if (this.abort.signal.aborted) {
            return false;
        }
        if (inTime === undefined) {
            const late = response.then(result => this.handleLateResponse(result));
            runInBackground("late heartbeat", late, log);
        }
        const result = inTime ?? Err(OrderFailure.Unknown);
        recordHeartbeat(metrics, this.worker.entry, result, clock.nowMs() - sentAtMs - waitMs);
        if (result.isErr()) {
            this.handleFailure(result.error);
            return false;
        }
        if (result.value.listing.startedAtMs < this.worker.entry.startedAtMs) {
            this.handleFailure(OrderFailure.OtherIncarnation);
            return false;
        }
        this.handleResponse(result.value, sentAtMs);
        return true;
    }

    /** Whether a run that has just started has to be slowed down. */
    private startsBelowFullPace(run: Run): boolean {
        const { filler, image } = run.task.step.spec;
        return filler && this.worker.pacePercentFor(image) < run.pacePercent;
    }

    private heartbeatWaitMs(): number {
        if (!this.worker.hasListedRuns || !this.worker.isReachable) {
            return 0;
        }
        if (this.worker.trialTask !== undefined) {
            // The time for which the task on trial has run, should the worker be lost, is known from the last answer.
            return 0;
        }
        let hasServing = false;
        let hasFiller = false;
        for (const run of this.worker.runs.values()) {
            const { tailTargetMs, filler } = run.task.step.spec;
            hasServing ||= tailTargetMs > 0;
            hasFiller ||= filler;
        }
        return hasServing && hasFiller ? ServingHeartbeatWaitMs : HeartbeatWaitMs;
    }

    private handleResponse(response: HeartbeatResponse, sentAtMs: number): void {
        const { clock, scheduler, listener, log } = this.context;
        const { entry } = this.worker;
        this.clockReadAtMs = clock.nowMs();
        this.clockOffsetMs = response.clockMs - this.clockReadAtMs;
        if (response.listing.startedAtMs !== entry.startedAtMs) {
            // The worker restarted under its id; its registration will show the same. Until that is read, its capacity
            // and labels are not known.
            scheduler.registerWorker({ ...entry, startedAtMs: response.listing.startedAtMs });
            scheduler.deregisterWorker(entry.id);
            listener.onChange();
            return;
        }
        if (!this.wasReachable) {
            this.wasReachable = true;
            log.write("worker-reached", {
                worker: entry.id,
                bornMs: entry.startedAtMs,
                runs: response.listing.running.length,
            });
        }
        scheduler.noteListing(this.worker, response.listing, sentAtMs);
        listener.onChange();
    }

    /**
     * Reads the ends in a response to a heartbeat that counts as failed: their tasks are not started again when the
     * lease expires. The rest of the listing may be out of date, as later heartbeats may have been answered.
     */
    private handleLateResponse(response: HeartbeatResult): void {
        if (this.abort.signal.aborted) {
            return;
        }
        if (response.isErr()) {
            this.reportIfFenced(response.error);
            return;
        }
        const { listing } = response.value;
        if (listing.startedAtMs === this.worker.entry.startedAtMs) {
            this.context.metrics.heartbeats.inc({ outcome: HeartbeatOutcome.Late });
            this.context.scheduler.noteEnds(this.worker, listing.ended);
            this.context.listener.onChange();
        }
    }

    private handleFailure(failure: OrderFailure): void {
        const { scheduler, log, listener, clock } = this.context;
        scheduler.noteUnreachable(this.worker);
        if (this.wasReachable) {
            this.wasReachable = false;
            log.write("worker-unreachable", {
                worker: this.worker.entry.id,
                failure,
                lastContactAgoMs: Math.round(clock.nowMs() - this.worker.lastContactAtMs),
            });
        }
        this.reportIfFenced(failure);
        listener.onChange();
    }

    private reportIfFenced(failure: OrderFailure | undefined): void {
        if (failure === OrderFailure.Fenced) {
            this.context.listener.onFenced(this.worker);
        }
    }

    /**
     * End of a lease, on the worker's clock, that begins when this process was last known to own the cell; undefined while
     * that clock is not known, and while the lease must not be extended. A reading older than a lease, which only a
     * suspended process has, may be further ahead of a slow clock than leases are counted.
     */
    private leaseDeadlineMs(): number | undefined {
        const { clock, leaseMs, proof } = this.context;
        const nowMs = clock.nowMs();
        if (this.clockOffsetMs === undefined || nowMs - this.clockReadAtMs > leaseMs) {
            return undefined;
        }
        if (nowMs - proof.provenAtMs > MaxProofAgeMs || !this.worker.mayExtendLease) {
            return undefined;
        }
        return Math.floor(proof.provenAtMs + this.clockOffsetMs + leaseMs);
    }
}
