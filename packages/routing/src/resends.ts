import type { ResultCode } from "@samphireward/core/result-code";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import { AnswerState } from "./answer-state.js";
import { backoffDelay } from "./backoff-delay.js";
import type { CallerAnswer } from "./caller-answer.js";
import type { JobOptions } from "./job-options.js";
import { retryDecision } from "./retry-decision.js";
import type { Sender } from "./sender.js";
import type { TargetState } from "./target-state.js";

/**
 * Connections of one request that may fail without counting as a send or using the retry budget: a data centre whose workers are all dead
 * must not use up the request's sends, and a failed connection costs its target nothing.
 */
const MaxFailedConnections = 6;

/** Decides whether a request is sent again, and takes a token of the pool's retry budget when it is. */
export class Resends {
    private failedConnections = 0;

    private constructor(
        private readonly options: JobOptions,
        private readonly caller: CallerAnswer,
        private readonly sender: Sender,
        private readonly deadlineAtMs: number,
    ) {}

    static create(options: JobOptions, caller: CallerAnswer, sender: Sender, deadlineAtMs: number): Resends {
        return new Resends(options, caller, sender, deadlineAtMs);
    }

    /** Returns the delay of the next send in milliseconds, or the code with which the request fails. */
    afterFailure(state: AnswerState): Result<number, ResultCode> {
        const { head, context, dispatcher } = this.options;
        const { clock, random, settings, counters } = context;
        if (state === AnswerState.NotConnected) {
            this.failedConnections += 1;
        }
        const isFree = state === AnswerState.NotConnected && this.failedConnections <= MaxFailedConnections;
        const sends = this.sender.count - Math.min(this.failedConnections, MaxFailedConnections);
        const delayMs = backoffDelay(Math.max(1, this.sender.count), random);
        const decision = retryDecision({
            idempotent: head.route.idempotent,
            bytesSent: this.sender.mayHaveRun,
            answer: this.caller.isStarted ? AnswerState.TruncatedAfterForward : state,
            remainingMs: this.deadlineAtMs - clock.nowMs() - delayMs,
            hasBudget: isFree || dispatcher.budget.hasToken,
            hasAttemptsLeft: sends < settings.maxAttempts,
        });
        if (!decision.retry) {
            return Err(decision.code);
        }
        if (!isFree) {
            dispatcher.budget.tryTake();
        }
        counters.add("requests.retries");
        return Ok(delayMs);
    }

    /**
     * Takes a slot for sending an idempotent request a second time while the first stays in progress: the
     * connection may be lost, or the target may only be slow with this request, and then the first answer still
     * counts. Returns the slot's target, or `undefined` when the request is not sent again.
     */
    duringSilence(): TargetState | undefined {
        const { head, context, dispatcher } = this.options;
        const mayRepeat = head.route.idempotent && !this.caller.isStarted;
        if (!mayRepeat || this.sender.count >= context.settings.maxAttempts) {
            return undefined;
        }
        const target = dispatcher.budget.hasToken ? dispatcher.takeSlot() : undefined;
        if (target !== undefined) {
            dispatcher.budget.tryTake();
            context.counters.add("requests.repeated-silent");
        }
        return target;
    }
}
