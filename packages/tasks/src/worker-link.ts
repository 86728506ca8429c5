import type { Clock } from "@samphireward/core/clock";
import type { CodedError } from "@samphireward/core/coded-error";
import { Outcome } from "@samphireward/core/outcome";
import { describeCode } from "@samphireward/core/describe-code";
import { Resources } from "@samphireward/core/resources";
import { ResultCode } from "@samphireward/core/result-code";
import { TaskState } from "@samphireward/core/task-state";
import type { Result } from "ts-results-es";
import type { Attempt } from "./attempt.js";
import { AttemptPhase } from "./attempt-phase.js";
import { leaseEnd } from "./lease-end.js";
import { OutcomeReader } from "./outcome-reader.js";
import type { OwnerTiming } from "./owner-timing.js";
import type { Recorder } from "./recorder.js";
import type { TaskRef } from "./task-ref.js";
import type { WorkerClient } from "./worker-client.js";
import type { WorkerEntry } from "./worker-entry.js";
import type { WorkerTasks } from "./worker-tasks.js";

type Call = () => Promise<void>;

/** Checkpoint calls that may fail before a task is stopped with its previous checkpoint. */
const MaxCheckpointTries = 3;

/** While something unknown runs on the worker it is asked this often. */
const ForeignCheckMs = 5000;

/**
 * The owner's conversation with one worker. One call is under way at a time, besides checkpoints, so that the
 * order of starts, renewals and stops at the worker is the order in which they were decided. After a call
 * without an answer the worker is only asked, not renewed, until it answers: a renewal that may have arrived
 * extends the lease, and renewing a silent worker would keep its tasks from ever being released.
 */
export class WorkerLink {
    readonly attempts = new Map<string, Attempt>();
    reachable = false;
    /** The directory does not list the worker any more. */
    gone = false;
    leaving = false;

    private announced = false;
    /** This owner's epoch has reached the worker at least once. */
    private fenced = false;
    private inventoried = false;
    private inventoryDueMs = 0;
    private nextRenewMs = 0;
    private nextOutcomesMs = 0;
    private retryAtMs = 0;
    private busy = false;
    private orphans: TaskRef[] = [];
    private readonly toStart: Attempt[] = [];
    private readonly outcomes: OutcomeReader;

    private constructor(
        readonly entry: WorkerEntry,
        private client: WorkerClient,
        private readonly recorder: Recorder,
        private readonly clock: Clock,
        private readonly timing: OwnerTiming,
    ) {
        this.outcomes = OutcomeReader.create(this.attempts, recorder);
    }

    static create(
        entry: WorkerEntry,
        client: WorkerClient,
        recorder: Recorder,
        clock: Clock,
        timing: OwnerTiming,
    ): WorkerLink {
        return new WorkerLink(entry, client, recorder, clock, timing);
    }

    /** Whether new tasks may be sent as far as the conversation goes. */
    get usable(): boolean {
        return this.reachable && this.fenced && !this.gone && !this.leaving && this.inventoried;
    }

    /** Adds an attempt whose write-ahead record is durable, or one of an earlier owner. */
    add(attempt: Attempt): void {
        this.attempts.set(attempt.key, attempt);
        if (attempt.phase === AttemptPhase.ToStart) {
            this.toStart.push(attempt);
        }
    }

    /** Removes an attempt whose end is durable. */
    remove(ref: TaskRef): void {
        if (this.attempts.get(ref.key)?.attempt === ref.attempt) {
            this.attempts.delete(ref.key);
        }
    }

    /** The directory lists the worker again, or no longer. A VM that comes back may have lost everything. */
    setGone(gone: boolean): void {
        if (gone === this.gone) {
            return;
        }
        this.gone = gone;
        this.announced = false;
        this.requestInventory();
        this.setReachable(false);
        const nowMs = this.clock.nowMs();
        for (const attempt of gone ? this.attempts.values() : []) {
            attempt.leaseBaseMs ??= nowMs;
        }
    }

    /** The directory has listed a worker that only the records named so far. */
    reconnect(client: WorkerClient): void {
        this.client = client;
        this.announced = false;
        this.requestInventory();
    }

    /** Releases what has ended by the clock, and makes the next call when one is due. */
    tick(): void {
        const nowMs = this.clock.nowMs();
        for (const attempt of this.attempts.values()) {
            this.checkAttempt(attempt, nowMs);
        }
        this.pump();
    }

    /** Stops an attempt; one that was never sent ends at once. */
    stop(attempt: Attempt): void {
        if (attempt.phase === AttemptPhase.ToStart) {
            this.release(attempt);
        } else if (attempt.phase === AttemptPhase.Live) {
            attempt.phase = AttemptPhase.Stopping;
        }
        this.pump();
    }

    /** Takes a checkpoint and stops the attempt. */
    async evict(attempt: Attempt): Promise<void> {
        attempt.checkpointTries += 1;
        attempt.checkpointOutstanding = true;
        const answer = await this.client.checkpoint(attempt.ref);
        attempt.checkpointOutstanding = false;
        if (answer.isErr() && this.failed(answer.error, "checkpoint") && this.mayRetryCheckpoint(attempt)) {
            return;
        }
        attempt.checkpoint = answer.isOk() ? answer.value : undefined;
        this.stop(attempt);
    }

    async throttle(attempt: Attempt, share: number): Promise<Result<void, CodedError>> {
        return this.client.throttle(attempt.ref, share);
    }

    /** Why a task that is placed here does not make progress, for operators; empty when the worker answers. */
    describe(attempt: Attempt | undefined): string {
        const name = this.entry.name;
        if (this.gone) {
            return `worker ${name} is gone from the directory; the task is released when its lease has ended`;
        }
        if (!this.fenced) {
            return `worker ${name} has not answered this owner yet; what it runs is unknown`;
        }
        if (!this.reachable) {
            const seconds = this.leaseSecondsLeft(attempt);
            return `worker ${name} does not answer; the task is released in ${seconds} s unless it does`;
        }
        return "";
    }

    private leaseSecondsLeft(attempt: Attempt | undefined): number {
        const endMs = leaseEnd(attempt?.leaseBaseMs ?? this.clock.nowMs(), this.timing);
        return Math.max(0, Math.ceil((endMs - this.clock.nowMs()) / 1000));
    }

    private mayRetryCheckpoint(attempt: Attempt): boolean {
        return attempt.checkpointTries < MaxCheckpointTries;
    }

    private checkAttempt(attempt: Attempt, nowMs: number): void {
        if (attempt.phase === AttemptPhase.Ended) {
            return;
        }
        if (attempt.phase === AttemptPhase.ToStart) {
            if (!this.reachable || this.gone) {
                this.release(attempt);
            }
            return;
        }
        const base = attempt.callOutstanding ? undefined : attempt.leaseBaseMs;
        if (base !== undefined && nowMs >= leaseEnd(base, this.timing)) {
            this.release(attempt);
            return;
        }
        const evicting = this.recorder.task(attempt.key)?.state === TaskState.Checkpointing;
        if (
            evicting &&
            this.reachable &&
            attempt.phase === AttemptPhase.Live &&
            !attempt.checkpointOutstanding
        ) {
            void this.evict(attempt);
        }
    }

    /** Records that an attempt has ended without an outcome. */
    private release(attempt: Attempt): void {
        attempt.phase = AttemptPhase.Ended;
        this.recorder.record({
            kind: "released",
            ...attempt.ref,
            checkpoint: attempt.checkpoint,
            wallMs: this.recorder.wallMs(),
        });
    }

    /** Makes the next call when one is due and none is under way. */
    pump(): void {
        if (this.busy || this.gone || !this.recorder.active) {
            return;
        }
        const call = this.nextCall(this.clock.nowMs());
        if (call !== undefined) {
            this.busy = true;
            void call().then(() => {
                this.busy = false;
                this.pump();
            });
        }
    }

    private nextCall(nowMs: number): Call | undefined {
        if (nowMs < this.retryAtMs) {
            return undefined;
        }
        if (!this.announced) {
            return () => this.announce();
        }
        if (nowMs >= this.inventoryDueMs) {
            return () => this.takeInventory();
        }
        if (!this.reachable) {
            return () => this.readOutcomes();
        }
        if (nowMs >= this.nextRenewMs) {
            return () => this.renew();
        }
        return this.nextCommand() ?? this.nextPoll(nowMs);
    }

    private nextCommand(): Call | undefined {
        const orphan = this.orphans[0];
        if (orphan !== undefined) {
            return () => this.stopOrphan(orphan);
        }
        const attempt = this.nextToStart();
        if (attempt !== undefined) {
            return () => this.start(attempt);
        }
        for (const attempt of this.attempts.values()) {
            if (attempt.phase === AttemptPhase.Stopping && !attempt.callOutstanding) {
                return () => this.stopAttempt(attempt);
            }
        }
        return undefined;
    }

    private nextPoll(nowMs: number): Call | undefined {
        if (this.outcomes.hasAcknowledgements) {
            return () => this.acknowledge();
        }
        if (nowMs >= this.nextOutcomesMs || this.outcomes.hasStopped) {
            return () => this.readOutcomes();
        }
        return undefined;
    }

    private nextToStart(): Attempt | undefined {
        while (this.toStart[0] !== undefined && this.toStart[0].phase !== AttemptPhase.ToStart) {
            this.toStart.shift();
        }
        return this.recorder.mayGrant() ? this.toStart[0] : undefined;
    }

    private async announce(): Promise<void> {
        const answer = await this.client.announceEpoch();
        if (answer.isErr()) {
            this.failed(answer.error, "epoch");
            return;
        }
        this.announced = true;
        this.fenced = true;
        const nowMs = this.clock.nowMs();
        for (const attempt of this.attempts.values()) {
            // An earlier owner may have renewed until now.
            attempt.leaseBaseMs ??= nowMs;
        }
        this.setReachable(true);
    }

    private async takeInventory(): Promise<void> {
        const asked = [...this.attempts.values()];
        const answer = await this.client.tasks();
        if (answer.isErr()) {
            this.failed(answer.error, "tasks");
            return;
        }
        this.inventoried = true;
        this.inventoryDueMs = Infinity;
        this.compare(asked, answer.value);
        this.outcomes.take(answer.value.outcomes, []);
        this.setReachable(true);
        this.recorder.workerChanged();
    }

    /** Compares what the worker runs with the records. What is unknown counts as used until it is gone. */
    private compare(asked: readonly Attempt[], report: WorkerTasks): void {
        const reported = new Set<string>();
        let foreign = Resources.none;
        this.orphans = [];
        for (const task of report.tasks) {
            const attempt = this.attempts.get(task.key);
            if (attempt?.attempt === task.attempt && attempt.phase !== AttemptPhase.Ended) {
                reported.add(task.key);
                continue;
            }
            foreign = foreign.plus(task.resources);
            if (this.recorder.task(task.key) !== undefined) {
                this.orphans.push({ key: task.key, attempt: task.attempt });
            }
        }
        this.entry.setForeign(foreign);
        if (foreign !== Resources.none) {
            this.inventoryDueMs = this.clock.nowMs() + ForeignCheckMs;
        }
        for (const attempt of asked) {
            this.settleInventory(attempt, reported.has(attempt.key));
        }
    }

    private settleInventory(attempt: Attempt, runs: boolean): void {
        const { phase } = attempt;
        if (phase !== AttemptPhase.Inherited && phase !== AttemptPhase.Live) {
            return;
        }
        const task = this.recorder.task(attempt.key);
        attempt.phase = runs && task?.cancelRequested !== true ? AttemptPhase.Live : AttemptPhase.Stopping;
        if (runs && task?.state === TaskState.Starting) {
            this.recorder.record({ kind: "running", ...attempt.ref });
        }
    }

    private async renew(): Promise<void> {
        const renewed = [...this.attempts.values()].filter(({ phase }) => phase === AttemptPhase.Live);
        this.nextRenewMs = this.clock.nowMs() + this.timing.renewIntervalMs;
        const answer = await this.holdLease(renewed, () =>
            this.client.renew(
                renewed.map(attempt => attempt.ref),
                this.timing.leaseMs,
            ),
        );
        if (answer.isErr()) {
            this.failed(answer.error, "renew");
            return;
        }
        for (const ref of answer.value) {
            const attempt = this.attempts.get(ref.key);
            if (attempt?.attempt === ref.attempt) {
                attempt.requestStop();
            }
        }
    }

    /** Makes a call that may extend the leases of these attempts. */
    private async holdLease<T>(
        attempts: readonly Attempt[],
        call: () => Promise<Result<T, CodedError>>,
    ): Promise<Result<T, CodedError>> {
        for (const attempt of attempts) {
            attempt.callOutstanding = true;
        }
        const answer = await call();
        const nowMs = this.clock.nowMs();
        for (const attempt of attempts) {
            attempt.callOutstanding = false;
            attempt.leaseBaseMs = nowMs;
        }
        return answer;
    }

    private async start(attempt: Attempt): Promise<void> {
        const task = this.recorder.task(attempt.key);
        if (task === undefined) {
            return;
        }
        attempt.phase = AttemptPhase.StartSent;
        const { checkpoint, spec } = task;
        const answer = await this.holdLease([attempt], () =>
            this.client.start({
                ...attempt.ref,
                resources: spec.resources,
                leaseMs: this.timing.leaseMs,
                payload: spec.payload,
                ...(checkpoint === undefined ? {} : { checkpoint }),
            }),
        );
        this.settleStart(attempt, answer);
    }

    private settleStart(attempt: Attempt, answer: Result<void, CodedError>): void {
        if (answer.isErr()) {
            this.startFailed(attempt, answer.error);
            return;
        }
        attempt.phase = AttemptPhase.Live;
        this.recorder.record({ kind: "running", ...attempt.ref });
        if (this.recorder.task(attempt.key)?.cancelRequested === true) {
            attempt.requestStop();
        }
    }

    /** A start that failed is stopped before its capacity is used again, unless nothing was sent. */
    private startFailed(attempt: Attempt, err: CodedError): void {
        this.failed(err, "start");
        if (err.code === ResultCode.NoTargetReachable) {
            this.release(attempt);
            return;
        }
        attempt.phase = AttemptPhase.Stopping;
        if (err.code === ResultCode.CapacityExceeded) {
            this.requestInventory();
        } else if (err.code === ResultCode.BadRequest) {
            attempt.rejection = `worker ${this.entry.name} rejects the task: ${err.message}`;
        }
    }

    private async stopAttempt(attempt: Attempt): Promise<void> {
        const answer = await this.client.stop(attempt.ref);
        if (answer.isErr()) {
            this.failed(answer.error, "stop");
            return;
        }
        if (attempt.phase === AttemptPhase.Stopping) {
            attempt.phase = AttemptPhase.Stopped;
            this.outcomes.expect(attempt);
        }
    }

    private async stopOrphan(orphan: TaskRef): Promise<void> {
        const answer = await this.client.stop(orphan);
        if (answer.isErr()) {
            this.failed(answer.error, "stop");
            return;
        }
        this.orphans = this.orphans.filter(other => other !== orphan);
        if (this.orphans.length === 0) {
            this.requestInventory();
        }
    }

    private async readOutcomes(): Promise<void> {
        const stopped = this.outcomes.takeStopped();
        const answer = await this.client.outcomes();
        if (answer.isErr()) {
            this.outcomes.expect(...stopped);
            this.failed(answer.error, "outcomes");
            return;
        }
        this.nextOutcomesMs = this.clock.nowMs() + this.timing.outcomeIntervalMs;
        this.outcomes.take(answer.value, stopped);
        this.setReachable(true);
    }

    private async acknowledge(): Promise<void> {
        const refs = this.outcomes.takeAcknowledgements();
        const answer = await this.client.acknowledge(refs);
        if (answer.isErr()) {
            // The worker repeats the outcomes, and they are acknowledged as already known.
            this.failed(answer.error, "ack");
        }
    }

    /** Handles a call's error. Returns whether the worker did not answer. */
    private failed(err: CodedError, call: string): boolean {
        if (err.code === ResultCode.StaleEpoch) {
            this.recorder.depose(`worker ${this.entry.name} has seen a higher epoch`);
            return false;
        }
        const silent =
            err.code === ResultCode.NoTargetReachable ||
            describeCode(err.code).outcome === Outcome.MayHaveRun;
        if (silent || (call !== "checkpoint" && call !== "start")) {
            this.retryAtMs = this.clock.nowMs() + this.timing.retryMs;
        }
        if (silent) {
            this.setReachable(false);
            this.nextRenewMs = 0;
        }
        return silent;
    }

    /** No task is placed here until the worker has said what it runs. */
    private requestInventory(): void {
        this.inventoried = false;
        this.inventoryDueMs = 0;
        this.recorder.workerChanged();
    }

    private setReachable(reachable: boolean): void {
        if (this.reachable !== reachable) {
            this.reachable = reachable;
            this.recorder.workerChanged();
        }
    }
}
