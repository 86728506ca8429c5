import { ResultCode } from "@samphireward/core/result-code";
import { AttemptOutcome } from "./attempt-outcome.js";

/** What is known when an attempt has failed. */
interface RetryInput {
    readonly idempotent: boolean;
    /** Whether a byte of the request may have reached a target that did not refuse it, in any attempt. */
    readonly bytesSent: boolean;
    readonly answer: AttemptOutcome;
    /** Time until the deadline minus the backoff; a retry needs more than none. */
    readonly remainingMs: number;
    readonly hasBudget: boolean;
    readonly hasAttemptsLeft: boolean;
}

type RetryDecision =
    | { readonly retry: true }
    /** `code` is given to the caller; a 2xxx code is a proof that nothing ran. */
    | { readonly retry: false; readonly code: ResultCode };

const codeIfMayHaveRun: Readonly<Record<AttemptOutcome, ResultCode>> = {
    [AttemptOutcome.NotConnected]: ResultCode.ConnectionLost,
    [AttemptOutcome.RefusedNotRun]: ResultCode.ConnectionLost,
    [AttemptOutcome.DeadlinePassed]: ResultCode.DeadlinePassed,
    [AttemptOutcome.ConnectionLost]: ResultCode.ConnectionLost,
    [AttemptOutcome.Truncated]: ResultCode.AnswerTruncated,
    [AttemptOutcome.TruncatedAfterForward]: ResultCode.AnswerTruncated,
    [AttemptOutcome.Malformed]: ResultCode.AnswerMalformed,
    [AttemptOutcome.HeadersTooLarge]: ResultCode.AnswerTooLarge,
};

/** Answers that a second attempt cannot improve or must not replace. */
const nonRetryableOutcomes: ReadonlySet<AttemptOutcome> = new Set([
    AttemptOutcome.DeadlinePassed,
    AttemptOutcome.TruncatedAfterForward,
    // The same answer would exceed the limit again.
    AttemptOutcome.HeadersTooLarge,
]);

const codeIfNotRun = (input: RetryInput): ResultCode => {
    if (input.remainingMs <= 0 || input.answer === AttemptOutcome.DeadlinePassed) {
        return ResultCode.DeadlinePassedInQueue;
    }
    if (input.answer !== AttemptOutcome.RefusedNotRun) {
        return ResultCode.NoTargetReachable;
    }
    return input.hasBudget ? ResultCode.TargetRefused : ResultCode.RetryBudgetEmpty;
};

/** Whether a failed attempt is repeated, and otherwise the code for the caller. A pure function. */
export const decideRetry = (input: RetryInput): RetryDecision => {
    const maySend = input.idempotent || !input.bytesSent;
    const isWorthwhile = input.remainingMs > 0 && !nonRetryableOutcomes.has(input.answer);
    if (maySend && isWorthwhile && input.hasBudget && input.hasAttemptsLeft) {
        return { retry: true };
    }
    return { retry: false, code: input.bytesSent ? codeIfMayHaveRun[input.answer] : codeIfNotRun(input) };
};
