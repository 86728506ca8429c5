import type { ResultCode } from "@samphireward/core/result-code";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import { AttemptOutcome } from "./attempt-outcome.js";
import { backoffDelayMs } from "./backoff-delay-ms.js";
import type { CallerResponse } from "./caller-response.js";
import type { JobOptions } from "./job-options.js";
import { decideRetry } from "./decide-retry.js";
import type { RequestSender } from "./request-sender.js";
import type { TargetState } from "./target-state.js";

/**
 * Connections of one request that may fail without counting as attempts or using the retry budget: a data centre
 * whose workers are all down must not use up the attempts, and a failed connection costs its target nothing.
 */
const MaxFailedConnections = 6;

/** Decides whether a request is retried or hedged, and takes a token from the pool's retry budget if it is. */
export class RetryPolicy {
    private failedConnectionCount = 0;

    private constructor(
        private readonly options: JobOptions,
        private readonly callerResponse: CallerResponse,
        private readonly sender: RequestSender,
        private readonly deadlineAtMs: number,
    ) {}

    static create(
        options: JobOptions,
        callerResponse: CallerResponse,
        sender: RequestSender,
        deadlineAtMs: number,
    ): RetryPolicy {
        return new RetryPolicy(options, callerResponse, sender, deadlineAtMs);
    }

    /** Returns the delay before the next attempt, or the result code with which the request fails. */
    nextDelayMs(outcome: AttemptOutcome): Result<number, ResultCode> {
        const { head, context, dispatcher } = this.options;
        const { clock, random, settings, counters } = context;
        if (outcome === AttemptOutcome.NotConnected) {
            this.failedConnectionCount += 1;
        }
        const isExemptFromLimits =
            outcome === AttemptOutcome.NotConnected && this.failedConnectionCount <= MaxFailedConnections;
        const attempts =
            this.sender.attemptCount - Math.min(this.failedConnectionCount, MaxFailedConnections);
        const delayMs = backoffDelayMs(Math.max(1, this.sender.attemptCount), random);
        const decision = decideRetry({
            idempotent: head.route.idempotent,
            mayHaveRun: this.sender.mayHaveRun,
            outcome: this.callerResponse.isStarted ? AttemptOutcome.TruncatedAfterForward : outcome,
            remainingMs: this.deadlineAtMs - clock.nowMs() - delayMs,
            hasBudget: isExemptFromLimits || dispatcher.retryBudget.hasToken,
            hasAttemptsLeft: attempts < settings.maxAttempts,
        });
        if (!decision.retry) {
            return Err(decision.code);
        }
        if (!isExemptFromLimits) {
            dispatcher.retryBudget.tryTake();
        }
        counters.add("requests.retries");
        return Ok(delayMs);
    }

    /**
     * Takes a slot for a hedged attempt of an idempotent request whose first attempt stays in progress: its
     * connection may be lost, or the target may only be slow with this request, and then its response still counts.
     * Returns the target of the slot, or `undefined` if the request is not hedged.
     */
    tryTakeHedgeSlot(): TargetState | undefined {
        const { head, context, dispatcher } = this.options;
        const mayHedge = head.route.idempotent && !this.callerResponse.isStarted;
        if (!mayHedge || this.sender.attemptCount >= context.settings.maxAttempts) {
            return undefined;
        }
        const target = dispatcher.retryBudget.hasToken ? dispatcher.tryTakeSlot() : undefined;
        if (target !== undefined) {
            dispatcher.retryBudget.tryTake();
            context.counters.add("requests.repeated-silent");
        }
        return target;
    }
}
