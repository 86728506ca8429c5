import { ResultCode } from "@samphireward/core/result-code";
import { AnswerState } from "./answer-state.js";

/** What is known when an attempt has failed. */
interface RetryInput {
    readonly idempotent: boolean;
    /** Whether a byte of the request may have reached a target that did not refuse it, in any attempt. */
    readonly bytesSent: boolean;
    readonly answer: AnswerState;
    /** Time until the deadline minus the backoff; a retry needs more than none. */
    readonly remainingMs: number;
    readonly hasBudget: boolean;
    readonly hasAttemptsLeft: boolean;
}

type RetryDecision =
    | { readonly retry: true }
    /** `code` is given to the caller; a 2xxx code is a proof that nothing ran. */
    | { readonly retry: false; readonly code: ResultCode };

const codeAfterSend: Readonly<Record<AnswerState, ResultCode>> = {
    [AnswerState.NotConnected]: ResultCode.ConnectionLost,
    [AnswerState.RefusedNotRun]: ResultCode.ConnectionLost,
    [AnswerState.Late]: ResultCode.DeadlinePassed,
    [AnswerState.Lost]: ResultCode.ConnectionLost,
    [AnswerState.Truncated]: ResultCode.AnswerTruncated,
    [AnswerState.TruncatedAfterForward]: ResultCode.AnswerTruncated,
    [AnswerState.Malformed]: ResultCode.AnswerMalformed,
    [AnswerState.HeadersTooLarge]: ResultCode.AnswerTooLarge,
};

/** Answers that a second attempt cannot improve or must not replace. */
const finalAnswers: ReadonlySet<AnswerState> = new Set([
    AnswerState.Late,
    AnswerState.TruncatedAfterForward,
    // The same answer would exceed the limit again.
    AnswerState.HeadersTooLarge,
]);

const codeNotRun = (input: RetryInput): ResultCode => {
    if (input.remainingMs <= 0 || input.answer === AnswerState.Late) {
        return ResultCode.DeadlinePassedInQueue;
    }
    if (input.answer !== AnswerState.RefusedNotRun) {
        return ResultCode.NoTargetReachable;
    }
    return input.hasBudget ? ResultCode.TargetRefused : ResultCode.RetryBudgetEmpty;
};

/** Whether a failed attempt is repeated, and otherwise the code for the caller. A pure function. */
export const retryDecision = (input: RetryInput): RetryDecision => {
    const maySend = input.idempotent || !input.bytesSent;
    const isWorthwhile = input.remainingMs > 0 && !finalAnswers.has(input.answer);
    if (maySend && isWorthwhile && input.hasBudget && input.hasAttemptsLeft) {
        return { retry: true };
    }
    return { retry: false, code: input.bytesSent ? codeAfterSend[input.answer] : codeNotRun(input) };
};
