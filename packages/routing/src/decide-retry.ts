import { ResultCode } from "@samphireward/core/result-code";
import { AttemptOutcome } from "./attempt-outcome.js";

/** The state of a request after a failed attempt. */
interface RetryInput {
    readonly idempotent: boolean;
    /** Whether any attempt may have sent a byte of the request to a target that did not refuse it. */
    readonly mayHaveRun: boolean;
    readonly outcome: AttemptOutcome;
    /** Time until the deadline minus the backoff; a retry requires a positive value. */
    readonly remainingMs: number;
    readonly hasBudget: boolean;
    readonly hasAttemptsLeft: boolean;
}

type RetryDecision =
    | { readonly retry: true }
    /** `code` is sent to the caller; a 2xxx code guarantees that the request did not run. */
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

/** Outcomes that another attempt cannot improve or must not replace. */
const nonRetryableOutcomes: ReadonlySet<AttemptOutcome> = new Set([
    AttemptOutcome.DeadlinePassed,
    AttemptOutcome.TruncatedAfterForward,
    // Another response would exceed the limit again.
    AttemptOutcome.HeadersTooLarge,
]);

const codeIfNotRun = (input: RetryInput): ResultCode => {
    if (input.remainingMs <= 0 || input.outcome === AttemptOutcome.DeadlinePassed) {
        return ResultCode.DeadlinePassedInQueue;
    }
    if (input.outcome !== AttemptOutcome.RefusedNotRun) {
        return ResultCode.NoTargetReachable;
    }
    return input.hasBudget ? ResultCode.TargetRefused : ResultCode.RetryBudgetEmpty;
};

/**
 * Decides whether a failed attempt is retried, and otherwise gives the result code for the caller. A pure function.
 */
export const decideRetry = (input: RetryInput): RetryDecision => {
    const maySend = input.idempotent || !input.mayHaveRun;
    const isWorthwhile = input.remainingMs > 0 && !nonRetryableOutcomes.has(input.outcome);
    if (maySend && isWorthwhile && input.hasBudget && input.hasAttemptsLeft) {
        return { retry: true };
    }
    return { retry: false, code: input.mayHaveRun ? codeIfMayHaveRun[input.outcome] : codeIfNotRun(input) };
};
