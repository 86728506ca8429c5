import type { Clock } from "@samphireward/core/clock";
import type { CodedError } from "@samphireward/core/coded-error";
import { runInBackground } from "@samphireward/core/run-in-background";
import { TaskState } from "@samphireward/core/task-state";
import type { Result } from "ts-results-es";
import type { Attempt } from "./attempt.js";
import { AttemptCommands } from "./attempt-commands.js";
import { AttemptPhase } from "./attempt-phase.js";
import { checkIncarnation } from "./check-incarnation.js";
import { describeLink } from "./describe-link.js";
import { leaseEndMs } from "./lease-end-ms.js";
import { LinkState } from "./link-state.js";
import type { OwnerTiming } from "./owner-timing.js";
import type { OwnerContext } from "./owner-context.js";
import type { AttemptRef } from "./attempt-ref.js";
import type { WorkerClient } from "./worker-client.js";
import type { WorkerEntry } from "./worker-entry.js";
import { WorkerInventory } from "./worker-inventory.js";
import { WorkerPolls } from "./worker-polls.js";

type Call = () => Promise<void>;

/**
 * Makes the owner's calls to one worker. Besides checkpoints and throttling, one call is in progress at a
 * time, so that starts, renewals and stops reach the worker in the order in which they were decided. After an
 * unanswered call the worker is only queried, not renewed, until it answers: a renewal that may have arrived
 * extends the lease, and renewing an unresponsive worker would keep its tasks from ever being released.
 */
export class WorkerLink {
    readonly attempts = new Map<string, Attempt>();
    readonly state: LinkState;

    private isCallInProgress = false;
    private readonly startQueue: Attempt[] = [];
    /** The last attempt that was ended without being sent because the worker had become too small. */
    private withdrawn: Attempt | undefined;
    private readonly stopping = new Set<Attempt>();
    private readonly polls: WorkerPolls;
    private readonly inventory: WorkerInventory;
    private readonly commands: AttemptCommands;

    private constructor(
        readonly entry: WorkerEntry,
        private client: WorkerClient,
        private readonly owner: OwnerContext,
        private readonly clock: Clock,
        private readonly timing: OwnerTiming,
    ) {
        this.state = LinkState.create(entry.name, owner, clock, timing);
        this.polls = WorkerPolls.create(entry.name, this.attempts, this.state, owner, attempt =>
            owner.lossRecorder.noteForgotten(this, attempt),
        );
        this.inventory = WorkerInventory.create(entry, this.attempts, this.state, owner);
        this.commands = AttemptCommands.create(this.state, owner);
    }

    static create(
        entry: WorkerEntry,
        client: WorkerClient,
        owner: OwnerContext,
        clock: Clock,
        timing: OwnerTiming,
    ): WorkerLink {
        return new WorkerLink(entry, client, owner, clock, timing);
    }

    /** Adds an attempt whose write-ahead record is durable, or one of an earlier owner. */
    add(attempt: Attempt): void {
        this.attempts.set(attempt.key, attempt);
        attempt.stoppingAttempts = this.stopping;
        if (attempt.phase === AttemptPhase.ToStart) {
            this.startQueue.push(attempt);
        }
    }

    /** Removes an attempt whose end is durable. */
    remove(ref: AttemptRef): void {
        if (this.attempts.get(ref.key)?.attempt === ref.attempt) {
            this.attempts.delete(ref.key);
        }
    }

    /**
     * Sets whether the directory no longer lists the worker. A VM that is listed again may have lost all its
     * state.
     */
    setGone(gone: boolean): void {
        if (gone === this.state.isGone) {
            return;
        }
        this.state.isGone = gone;
        this.state.isEpochAnnounced = false;
        this.state.requestInventory();
        this.state.markSilent();
        this.state.setReachable(false);
        if (gone) {
            this.startLeaseExpiry();
        }
    }

    /** Sets the client of a worker that was known from records only and that the directory lists now. */
    replaceClient(client: WorkerClient): void {
        this.client = client;
        this.state.isEpochAnnounced = false;
        this.state.isIncarnationKnown = false;
        this.state.requestInventory();
    }

    /** Ends attempts whose lease has ended, and starts the next call when one is due. */
    tick(): void {
        const nowMs = this.clock.nowMs();
        for (const attempt of this.attempts.values()) {
            this.checkAttempt(attempt, nowMs);
        }
        this.startNextCall();
    }

    /** Starts the next call when one is due and none is in progress. */
    startNextCall(): void {
        if (this.isCallInProgress || this.state.isGone || !this.owner.isActive) {
            return;
        }
        const call = this.nextCall(this.clock.nowMs());
        if (call !== undefined) {
            this.isCallInProgress = true;
            runInBackground("worker call", this.runCall(call));
        }
    }

    /** Runs a call, then the next one that is due. After a call that fails unexpectedly, the next tick starts one. */
    private async runCall(call: Call): Promise<void> {
        try {
            await call();
        } finally {
            this.isCallInProgress = false;
        }
        this.startNextCall();
    }

    /** Stops an attempt; an attempt that was never sent to the worker ends at once. */
    stop(attempt: Attempt): void {
        if (attempt.phase === AttemptPhase.ToStart) {
            attempt.recordEnd(this.owner);
        } else {
            attempt.requestStop();
        }
        this.startNextCall();
    }

    throttle(attempt: Attempt, share: number): Promise<Result<void, CodedError>> {
        return this.client.throttle(attempt.ref, share);
    }

    /** Describes for operators why a task on this worker makes no progress; empty when the worker answers. */
    describe(attempt: Attempt | undefined): string {
        return describeLink(this.entry.name, this.state, attempt);
    }

    /** Starts the expiry of leases that inherited attempts hold: from now on no earlier owner can extend them. */
    private startLeaseExpiry(): void {
        const nowMs = this.clock.nowMs();
        for (const attempt of this.attempts.values()) {
            attempt.leaseCallSettledMs ??= nowMs;
        }
    }

    private checkAttempt(attempt: Attempt, nowMs: number): void {
        if (attempt.phase === AttemptPhase.Ended) {
            return;
        }
        if (attempt.phase === AttemptPhase.ToStart) {
            if (!this.state.isReachable || this.state.isGone) {
                attempt.recordEnd(this.owner);
            }
            return;
        }
        const base = attempt.leaseCallPending ? undefined : attempt.leaseCallSettledMs;
        if (base !== undefined && nowMs >= leaseEndMs(base, this.timing)) {
            this.owner.lossRecorder.noteLeaseEnd(this, attempt);
            attempt.recordEnd(this.owner);
        } else if (this.isCheckpointDue(attempt)) {
            runInBackground("checkpoint", this.checkpoint(attempt));
        }
    }

    private isCheckpointDue(attempt: Attempt): boolean {
        const isPossible = attempt.isEvicting && attempt.phase === AttemptPhase.Live;
        if (!isPossible || attempt.checkpointPending || !this.state.isReachable) {
            return false;
        }
        // The transition to `checkpointing` may still be queued for the log.
        return this.owner.task(attempt.key)?.state === TaskState.Checkpointing;
    }

    private async checkpoint(attempt: Attempt): Promise<void> {
        if (await this.commands.checkpoint(this.client, attempt)) {
            this.stop(attempt);
        }
    }

    private nextCall(nowMs: number): Call | undefined {
        if (nowMs < this.state.retryAtMs) {
            return undefined;
        }
        if (!this.state.isIncarnationKnown) {
            return () => checkIncarnation(this, this.client, this.owner);
        }
        if (!this.state.isEpochAnnounced) {
            return () => this.announceEpoch();
        }
        if (nowMs >= this.state.inventoryDueMs) {
            return () => this.takeInventory();
        }
        if (!this.state.isReachable) {
            return () => this.polls.readOutcomes(this.client);
        }
        if (nowMs >= this.state.renewDueMs) {
            return () => this.commands.renew(this.client, [...this.attempts.values()]);
        }
        return this.nextCommand() ?? this.polls.next(this.client, nowMs);
    }

    private nextCommand(): Call | undefined {
        const orphan = this.inventory.firstOrphan;
        if (orphan !== undefined) {
            return () => this.inventory.stopOrphan(this.client, orphan);
        }
        const attempt = this.nextToStart();
        if (attempt !== undefined) {
            return () => this.commands.start(this.client, attempt);
        }
        const [stopping] = this.stopping;
        return stopping && (() => this.sendStop(stopping));
    }

    private nextToStart(): Attempt | undefined {
        while (this.startQueue[0] !== undefined && this.startQueue[0].phase !== AttemptPhase.ToStart) {
            this.startQueue.shift();
        }
        if (!this.owner.mayGrant()) {
            return undefined;
        }
        if (this.entry.isOverCapacity) {
            this.withdrawLastStart();
            return undefined;
        }
        return this.startQueue[0];
    }

    /** Ends the last attempt that was not sent, if none is being ended: the worker has become too small for all. */
    private withdrawLastStart(): void {
        const { withdrawn } = this;
        const isPending = withdrawn !== undefined && this.attempts.get(withdrawn.key) === withdrawn;
        const last = this.startQueue.findLast(({ phase }) => phase === AttemptPhase.ToStart);
        if (!isPending && last !== undefined) {
            this.withdrawn = last;
            last.recordEnd(this.owner);
        }
    }

    private async announceEpoch(): Promise<void> {
        const answer = await this.client.announceEpoch();
        if (answer.isErr()) {
            this.state.handleCallError(answer.error);
            return;
        }
        this.state.isEpochAnnounced = true;
        this.state.isFenced = true;
        this.startLeaseExpiry();
        this.state.setReachable(true);
    }

    private async takeInventory(): Promise<void> {
        const asked = [...this.attempts.values()];
        const answer = await this.client.tasks();
        if (answer.isErr()) {
            this.state.handleCallError(answer.error);
            return;
        }
        this.state.noteEpoch(answer.value.epoch);
        this.inventory.processReport(asked, answer.value);
        this.polls.outcomes.processOutcomes(answer.value.outcomes, []);
        this.state.setReachable(true);
    }

    private async sendStop(attempt: Attempt): Promise<void> {
        if (await this.commands.stop(this.client, attempt)) {
            this.polls.outcomes.addStopped(attempt);
        }
    }
}
