import type { CodedError } from "@samphireward/core/coded-error";
import { ResultCode } from "@samphireward/core/result-code";
import type { Result } from "ts-results-es";
import type { Attempt } from "./attempt.js";
import { AttemptPhase } from "./attempt-phase.js";
import type { LinkState } from "./link-state.js";
import type { OwnerContext } from "./owner-context.js";
import type { WorkerClient } from "./worker-client.js";

/** Checkpoint calls that may fail before a task is stopped with its previous checkpoint. */
const MaxCheckpointCalls = 3;

/** The commands for attempts on one worker, and what follows from each answer. */
export class AttemptCommands {
    private constructor(
        private readonly link: LinkState,
        private readonly owner: OwnerContext,
    ) {}

    static create(link: LinkState, recorder: OwnerContext): AttemptCommands {
        return new AttemptCommands(link, recorder);
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

    /** Renews all attempts with one call. One that the worker does not run is stopped, to learn how it ended. */
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
        renewed.filter(attempt => unknown.has(attempt.key)).forEach(attempt => attempt.requestStop());
    }

    /** Returns whether the stop is confirmed. */
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

    /** Takes a checkpoint, after which the attempt is to be stopped; returns false when it is to be repeated. */
    async checkpoint(client: WorkerClient, attempt: Attempt): Promise<boolean> {
        attempt.checkpointCalls += 1;
        attempt.checkpointPending = true;
        const answer = await client.checkpoint(attempt.ref);
        attempt.checkpointPending = false;
        if (answer.isErr()) {
            const silent = this.link.handleCallError(answer.error, false);
            return !silent || attempt.checkpointCalls >= MaxCheckpointCalls;
        }
        attempt.checkpoint = answer.value;
        return true;
    }

    /** Makes a call that may extend the leases of these attempts. */
    private async callExtendingLeases<T>(
        attempts: readonly Attempt[],
        call: () => Promise<Result<T, CodedError>>,
    ): Promise<Result<T, CodedError>> {
        for (const attempt of attempts) {
            attempt.leaseCallPending = true;
        }
        const answer = await call();
        // The process may have been paused between its clock and the call, so only the end of the call counts.
        const nowMs = this.link.clock.nowMs();
        for (const attempt of attempts) {
            attempt.leaseCallPending = false;
            attempt.leaseCallSettledMs = nowMs;
        }
        return answer;
    }

    /** An attempt whose start failed is stopped before its capacity is used again, unless nothing was sent. */
    private handleStartFailure(attempt: Attempt, err: CodedError): void {
        this.link.handleCallError(err, false);
        if (err.code === ResultCode.NoTargetReachable) {
            attempt.recordEnd(this.owner);
            return;
        }
        attempt.phase = AttemptPhase.Stopping;
        if (err.code === ResultCode.CapacityExceeded) {
            this.link.requestInventory();
        } else if (err.code === ResultCode.BadRequest) {
            attempt.rejectionError = `the worker rejects the task: ${err.message}`;
        }
    }
}
