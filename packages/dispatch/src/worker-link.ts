import type { Clock } from "@samphireward/core/clock";
import type { CellScheduler } from "@samphireward/jobs/cell-scheduler";
import type { Run } from "@samphireward/jobs/run";
import { RunPhase } from "@samphireward/jobs/run-phase";
import { StartOutcome } from "@samphireward/jobs/start-outcome";
import type { StopReason } from "@samphireward/jobs/stop-reason";
import type { WorkerIncarnation } from "@samphireward/jobs/worker-incarnation";
import type { EventLog } from "./event-log.js";
import type { HeartbeatResponse } from "./heartbeat-response.js";
import type { LinkListener } from "./link-listener.js";
import type { Metrics } from "./metrics.js";
import { OrderFailure } from "./order-failure.js";
import { sleep } from "./sleep.js";
import type { WorkerClient } from "./worker-client.js";

/** Longest wait of a call that renews a worker's lease and reads its runs. */
const HeartbeatWaitMs = 1_400;
/** The same where fillers run beside serving tasks, whose tails steer the pace of the fillers. */
const ServingHeartbeatWaitMs = 600;
/** Pause between two calls, so that ends which come close together share one. */
const HeartbeatPauseMs = 90;
const RetryDelayMs = 250;

/** Everything that the link needs from its owner. */
interface LinkContext {
    readonly scheduler: CellScheduler;
    readonly clock: Clock;
    readonly log: EventLog;
    readonly metrics: Metrics;
    readonly fencingToken: number;
    readonly leaseMs: number;
    readonly listener: LinkListener;
}

/** Talks to one life of a worker: renews its lease, reads its runs and carries orders. */
export class WorkerLink {
    private readonly abort = new AbortController();
    /** The worker's clock less ours, in milliseconds; a lower bound. */
    private clockOffsetMs: number | undefined;
    private wasReachable = false;

    private constructor(
        private readonly life: WorkerIncarnation,
        private readonly client: WorkerClient,
        private readonly context: LinkContext,
    ) {}

    static create(life: WorkerIncarnation, port: WorkerClient, context: LinkContext): WorkerLink {
        return new WorkerLink(life, port, context);
    }

    /** Renews and reads until `close`. */
    async run(): Promise<void> {
        while (!this.abort.signal.aborted) {
            const isAnswered = await this.sendHeartbeat();
            await sleep(isAnswered ? HeartbeatPauseMs : RetryDelayMs, this.abort.signal);
        }
    }

    close(): void {
        this.abort.abort();
        this.client.close();
    }

    async start(run: Run): Promise<void> {
        const { scheduler, fencingToken: token, listener, log, clock, metrics } = this.context;
        const deadlineMs = this.leaseDeadlineMs();
        if (deadlineMs === undefined) {
            scheduler.responses.recordStart(run, StartOutcome.Refused);
            return;
        }
        const sentAtMs = clock.nowMs();
        scheduler.noteLeaseExtension(this.life);
        const outcome = await this.client.start(run, token, deadlineMs);
        scheduler.responses.recordStart(run, outcome);
        metrics.starts.inc({ outcome });
        metrics.startSeconds.observe((clock.nowMs() - sentAtMs) / 1_000);
        log.write("start", {
            task: run.task.name,
            run: run.number,
            worker: this.life.entry.id,
            outcome,
            epoch: token,
            tookMs: Math.round(clock.nowMs() - sentAtMs),
        });
        if (outcome === StartOutcome.Fenced) {
            listener.onFenced(this.life);
        } else if (outcome !== StartOutcome.Started || this.startsBelowFullPace(run)) {
            listener.onChange();
        }
    }

    async stop(task: string, number: number, reason: StopReason): Promise<void> {
        const { scheduler, fencingToken: token, log, metrics } = this.context;
        const outcome = await this.client.stop(task, number, token);
        metrics.stops.inc({ outcome: outcome.isOk() ? "stopped" : outcome.error });
        log.write("stop", {
            task,
            run: number,
            worker: this.life.entry.id,
            reason,
            outcome: outcome.isOk() ? "stopped" : outcome.error,
            epoch: token,
        });
        if (outcome.isOk()) {
            scheduler.responses.recordStop(this.life, task, number);
        }
        this.reportIfFenced(outcome.isErr() ? outcome.error : undefined);
    }

    async pace(run: Run, percent: number): Promise<void> {
        const { scheduler, fencingToken: token } = this.context;
        scheduler.responses.recordPace(run, percent);
        const outcome = await this.client.pace(run, percent, token);
        if (outcome.isErr() && run.phase === RunPhase.Running) {
            // The pace is not known: the next plan orders it again.
            scheduler.responses.recordPace(run, -1);
            this.reportIfFenced(outcome.error);
        }
    }

    private async sendHeartbeat(): Promise<boolean> {
        const { clock, scheduler, fencingToken: token } = this.context;
        const sentAtMs = clock.nowMs();
        // A call to a silent worker extends nothing: what may run there has to come to an end.
        const deadlineMs = this.life.isReachable ? this.leaseDeadlineMs() : undefined;
        if (deadlineMs !== undefined) {
            scheduler.noteLeaseExtension(this.life);
        }
        const answer = await this.client.heartbeat({
            fencingToken: token,
            durableEnd: this.life.lastDurableEndSequence,
            deadlineMs,
            waitMs: this.life.hasListedRuns ? this.heartbeatWaitMs() : 0,
        });
        if (this.abort.signal.aborted) {
            return false;
        }
        if (answer.isErr()) {
            this.handleFailure(answer.error);
            return false;
        }
        this.handleResponse(answer.value, sentAtMs);
        return true;
    }

    /** Whether a run that has just started is to work at less than full pace. */
    private startsBelowFullPace(run: Run): boolean {
        const { filler, image } = run.task.step.spec;
        return filler && this.life.pacePercentFor(image) < run.pacePercent;
    }

    private heartbeatWaitMs(): number {
        let hasServing = false;
        let hasFiller = false;
        for (const run of this.life.runs.values()) {
            const { tailTargetMs, filler } = run.task.step.spec;
            hasServing ||= tailTargetMs > 0;
            hasFiller ||= filler;
        }
        return hasServing && hasFiller ? ServingHeartbeatWaitMs : HeartbeatWaitMs;
    }

    private handleResponse(answer: HeartbeatResponse, sentAtMs: number): void {
        const { clock, scheduler, listener, log } = this.context;
        const { entry } = this.life;
        this.clockOffsetMs = answer.clockMs - clock.nowMs();
        if (answer.listing.startedAtMs !== entry.startedAtMs) {
            // The worker was started again under its id; its registration will say so too.
            scheduler.registerWorker({ ...entry, startedAtMs: answer.listing.startedAtMs });
            listener.onChange();
            return;
        }
        if (!this.wasReachable) {
            this.wasReachable = true;
            log.write("worker-reached", {
                worker: entry.id,
                bornMs: entry.startedAtMs,
                runs: answer.listing.running.length,
            });
        }
        scheduler.noteListing(this.life, answer.listing, sentAtMs);
        listener.onChange();
    }

    private handleFailure(failure: OrderFailure): void {
        const { scheduler, log, listener, clock } = this.context;
        scheduler.noteUnreachable(this.life);
        if (this.wasReachable) {
            this.wasReachable = false;
            log.write("worker-unreachable", {
                worker: this.life.entry.id,
                failure,
                lastContactAgoMs: Math.round(clock.nowMs() - this.life.lastContactAtMs),
            });
        }
        this.reportIfFenced(failure);
        listener.onChange();
    }

    private reportIfFenced(failure: OrderFailure | undefined): void {
        if (failure === OrderFailure.Fenced) {
            this.context.listener.onFenced(this.life);
        }
    }

    /** End of a lease that begins now, on the worker's clock. */
    private leaseDeadlineMs(): number | undefined {
        const { clock, leaseMs } = this.context;
        return this.clockOffsetMs === undefined
            ? undefined
            : Math.floor(clock.nowMs() + this.clockOffsetMs + leaseMs);
    }
}
