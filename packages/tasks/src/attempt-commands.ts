import type { CodedError } from "@samphireward/core/coded-error";
import { describeCode } from "@samphireward/core/describe-code";
import { Outcome } from "@samphireward/core/outcome";
import { ResultCode } from "@samphireward/core/result-code";
import type { Result } from "ts-results-es";
import type { Attempt } from "./attempt.js";
import { AttemptPhase } from "./attempt-phase.js";
import type { LinkState } from "./link-state.js";
import type { OwnerContext } from "./owner-context.js";
import type { WorkerClient } from "./worker-client.js";

/** Checkpoint calls per eviction. After the last unanswered one the task is stopped with its previous checkpoint. */
const MaxCheckpointCalls = 3;

const isNotRun = (err: CodedError): boolean => describeCode(err.code).outcome === Outcome.NotRun;

/** Sends the start, renewal, stop and checkpoint commands for one worker's attempts, and handles the answers. */
export class AttemptCommands {
    private constructor(
        private readonly link: LinkState,
        private readonly owner: OwnerContext,
    ) {}

    static create(link: LinkState, owner: OwnerContext): AttemptCommands {
        return new AttemptCommands(link, owner);
    }

    async start(client: WorkerClient, attempt: Attempt): Promise<void> {
        const task = this.owner.task(attempt.key);
        if (task === undefined) {
            return;
        }
        attempt.phase = AttemptPhase.StartSent;
        const { checkpoint, spec } = task;
        const answer = await this.callExtendingLeases([attempt], () =>
            client.start({
                ...attempt.ref,
                resources: spec.resources,
                leaseMs: this.link.timing.leaseMs,
                payload: spec.payload,
                ...(checkpoint === undefined ? {} : { checkpoint }),
            }),
        );
        if (answer.isErr()) {
            this.handleStartFailure(attempt, answer.error);
            return;
        }
        attempt.phase = AttemptPhase.Live;
        attempt.runningSinceMs = this.link.clock.nowMs();
        this.owner.record({ kind: "running", ...attempt.ref });
        if (this.owner.task(attempt.key)?.cancelRequested === true) {
            attempt.requestStop();
        }
    }

    /**
     * Renews the leases of all running attempts with one call. An attempt that the worker does not run is
     * stopped, to learn how it ended.
     */
    async renew(client: WorkerClient, attempts: readonly Attempt[]): Promise<void> {
        const { timing, clock } = this.link;
        const renewed = attempts.filter(({ phase }) => phase === AttemptPhase.Live);
        this.link.renewDueMs = clock.nowMs() + timing.renewIntervalMs;
        const refs = renewed.map(attempt => attempt.ref);
        const answer = await this.callExtendingLeases(renewed, () => client.renew(refs, timing.leaseMs));
        if (answer.isErr()) {
            this.link.handleCallError(answer.error);
            return;
        }
        const unknown = new Set(answer.value.map(ref => ref.key));
        renewed.filter(attempt => unknown.has(attempt.key)).forEach(attempt => this.stopUnknown(attempt));
    }

    private stopUnknown(attempt: Attempt): void {
        attempt.isForgotten = attempt.phase === AttemptPhase.Live;
        attempt.requestStop();
    }

    /** Returns whether the worker has confirmed the stop. */
    async stop(client: WorkerClient, attempt: Attempt): Promise<boolean> {
        const answer = await client.stop(attempt.ref);
        if (answer.isErr()) {
            this.link.handleCallError(answer.error);
            return false;
        }
        if (attempt.phase !== AttemptPhase.Stopping) {
            return false;
        }
        attempt.phase = AttemptPhase.Stopped;
        return true;
    }

    /** Takes a checkpoint. Returns true when the attempt can be stopped, false when the call must be repeated. */
    async checkpoint(client: WorkerClient, attempt: Attempt): Promise<boolean> {
        attempt.checkpointCalls += 1;
        attempt.checkpointPending = true;
        const answer = await client.checkpoint(attempt.ref);
        attempt.checkpointPending = false;
        if (answer.isErr()) {
            const isUnanswered = this.link.handleCallError(answer.error, false);
            attempt.isForgotten ||= answer.error.code === ResultCode.TaskUnknown;
            return !isUnanswered || attempt.checkpointCalls >= MaxCheckpointCalls;
        }
        attempt.checkpoint = answer.value;
        return true;
    }

    /** Makes a call that may extend the leases of the given attempts. */
    private async callExtendingLeases<T>(
        attempts: readonly Attempt[],
        call: () => Promise<Result<T, CodedError>>,
    ): Promise<Result<T, CodedError>> {
        for (const attempt of attempts) {
            attempt.leaseCallPending = true;
        }
        const answer = await call();
        // The process may be paused between reading the clock and sending the call, so leases count from the
        // end of the call.
        const nowMs = this.link.clock.nowMs();
        for (const attempt of attempts) {
            attempt.leaseCallPending = false;
            attempt.leaseCallSettledMs = nowMs;
        }
        return answer;
    }

    /** Stops an attempt whose start failed before its capacity is used again, unless the command was never sent. */
    private handleStartFailure(attempt: Attempt, err: CodedError): void {
        this.link.handleCallError(err, false);
        if (err.code === ResultCode.NoTargetReachable) {
            attempt.recordEnd(this.owner);
            return;
        }
        attempt.phase = AttemptPhase.Stopping;
        // A stale attempt number may mean that a copy of the command arrived before and ran.
        attempt.wasRefused = isNotRun(err) && err.code !== ResultCode.StaleAttempt;
        if (err.code === ResultCode.CapacityExceeded) {
            this.link.requestInventory();
        } else if (err.code === ResultCode.BadRequest) {
            attempt.rejectionError = `the worker rejects the task: ${err.message}`;
        }
    }
}
