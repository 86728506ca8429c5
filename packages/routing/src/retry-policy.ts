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
 * Connections of one request that may fail without counting as a send or using the retry budget: a data centre whose workers are all dead
 * must not use up the request's sends, and a failed connection costs its target nothing.
 */
const MaxFailedConnections = 6;

/** Decides whether a request is sent again, and takes a token of the pool's retry budget when it is. */
export class RetryPolicy {
    private failedConnectionCount = 0;

    private constructor(
        private readonly options: JobOptions,
        private readonly caller: CallerResponse,
        private readonly sender: RequestSender,
        private readonly deadlineAtMs: number,
    ) {}

    static create(
        options: JobOptions,
        caller: CallerResponse,
        sender: RequestSender,
        deadlineAtMs: number,
    ): RetryPolicy {
        return new RetryPolicy(options, caller, sender, deadlineAtMs);
    }

    /** Returns the delay of the next send in milliseconds, or the code with which the request fails. */
    nextDelayMs(state: AttemptOutcome): Result<number, ResultCode> {
        const { head, context, dispatcher } = this.options;
        const { clock, random, settings, counters } = context;
        if (state === AttemptOutcome.NotConnected) {
            this.failedConnectionCount += 1;
        }
        const isFree =
            state === AttemptOutcome.NotConnected && this.failedConnectionCount <= MaxFailedConnections;
        const sends = this.sender.attemptCount - Math.min(this.failedConnectionCount, MaxFailedConnections);
        const delayMs = backoffDelayMs(Math.max(1, this.sender.attemptCount), random);
        const decision = decideRetry({
            idempotent: head.route.idempotent,
            bytesSent: this.sender.mayHaveRun,
            answer: this.caller.isStarted ? AttemptOutcome.TruncatedAfterForward : state,
            remainingMs: this.deadlineAtMs - clock.nowMs() - delayMs,
            hasBudget: isFree || dispatcher.retryBudget.hasToken,
            hasAttemptsLeft: sends < settings.maxAttempts,
        });
        if (!decision.retry) {
            return Err(decision.code);
        }
        if (!isFree) {
            dispatcher.retryBudget.tryTake();
        }
        counters.add("requests.retries");
        return Ok(delayMs);
    }

    /**
     * Takes a slot for sending an idempotent request a second time while the first stays in progress: the
     * connection may be lost, or the target may only be slow with this request, and then the first answer still
     * counts. Returns the slot's target, or `undefined` when the request is not sent again.
     */
    tryTakeHedgeSlot(): TargetState | undefined {
        const { head, context, dispatcher } = this.options;
        const mayRepeat = head.route.idempotent && !this.caller.isStarted;
        if (!mayRepeat || this.sender.attemptCount >= context.settings.maxAttempts) {
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
