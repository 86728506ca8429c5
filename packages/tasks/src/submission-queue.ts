import type { Clock } from "@samphireward/core/clock";
import { CodedError } from "@samphireward/core/coded-error";
import { ResultCode } from "@samphireward/core/result-code";
import type { TaskSpec } from "@samphireward/core/task-spec";
import type { Result } from "ts-results-es";
import { Err } from "ts-results-es";

/** Limit on the submissions that wait while the store is slow; more are refused at once. */
const MaxWaitingSubmissions = 10_000;

interface Submission {
    readonly spec: TaskSpec;
    readonly deadlineMs: number;
    /** The submission was handed to the log, so its result is unknown until the log answers. */
    isHandedToLog: boolean;
    readonly settle: (result: Result<void, CodedError>) => void;
}

/**
 * Submissions that are not recorded yet. One that was not handed to the log can be refused as not run; after
 * that it may be durable, and a refusal must not claim that it was not recorded.
 */
export class SubmissionQueue {
    private readonly byKey = new Map<
        string,
        { submission: Submission; promise: Promise<Result<void, CodedError>> }
    >();
    private waiting: Submission[] = [];
    /** Keys that were handed to the log and not answered yet, also those whose submission has timed out. */
    private readonly unansweredKeys = new Set<string>();

    private constructor(
        private readonly clock: Clock,
        private readonly timeoutMs: number,
    ) {}

    static create(clock: Clock, timeoutMs: number): SubmissionQueue {
        return new SubmissionQueue(clock, timeoutMs);
    }

    get length(): number {
        return this.byKey.size;
    }

    /** Returns the result of the pending submission with this key, if there is one. */
    find(key: string): Promise<Result<void, CodedError>> | undefined {
        return this.byKey.get(key)?.promise;
    }

    /**
     * Adds a submission. Resolves once the task is recorded or refused, or when the timeout has passed and
     * the result is unknown.
     */
    add(spec: TaskSpec): Promise<Result<void, CodedError>> {
        if (this.waiting.length >= MaxWaitingSubmissions) {
            const message = `${MaxWaitingSubmissions} submissions wait for the store`;
            return Promise.resolve(Err(CodedError.create(ResultCode.StoreUnavailable, message)));
        }
        const { promise, resolve } = createDeferred();
        const deadlineMs = this.clock.nowMs() + this.timeoutMs;
        const submission: Submission = { spec, deadlineMs, isHandedToLog: false, settle: resolve };
        this.byKey.set(spec.key, { submission, promise });
        this.waiting.push(submission);
        return promise;
    }

    /** Removes and returns all waiting submissions, to be handed to the log. */
    takeWaiting(): TaskSpec[] {
        const taken = this.waiting;
        this.waiting = [];
        for (const submission of taken) {
            submission.isHandedToLog = true;
            this.unansweredKeys.add(submission.spec.key);
        }
        return taken.map(({ spec }) => spec);
    }

    /** Resolves a submission with the answer of the log, and removes it. */
    settle(key: string, result: Result<void, CodedError>): void {
        this.unansweredKeys.delete(key);
        this.remove(key, result);
    }

    /** Resolves the submissions whose deadline has passed with an error. */
    expire(): void {
        const nowMs = this.clock.nowMs();
        const isLate = (submission: Submission): boolean => submission.deadlineMs <= nowMs;
        this.waiting = this.waiting.filter(submission => !isLate(submission));
        for (const { submission } of this.byKey.values()) {
            if (!isLate(submission)) {
                // Submissions are kept in the order of their deadlines.
                return;
            }
            this.remove(submission.spec.key, Err(this.timeoutError(submission)));
        }
    }

    /** Refuses the submissions that were not handed to the log. */
    refuseWaiting(): void {
        const waiting = this.waiting;
        this.waiting = [];
        for (const { spec } of waiting) {
            const err = this.unansweredKeys.has(spec.key) ? unconfirmedError() : ownershipLostError();
            this.remove(spec.key, Err(err));
        }
    }

    private remove(key: string, result: Result<void, CodedError>): void {
        this.byKey.get(key)?.submission.settle(result);
        this.byKey.delete(key);
    }

    /** The task of a repeated submission may be recorded by the first one, which the log has not answered. */
    private timeoutError({ spec, isHandedToLog }: Submission): CodedError {
        return isHandedToLog || this.unansweredKeys.has(spec.key)
            ? unconfirmedError()
            : CodedError.create(ResultCode.StoreUnavailable, "The store does not accept submissions");
    }
}

const unconfirmedError = (): CodedError =>
    CodedError.create(ResultCode.OwnerUnreachable, "The store has not confirmed the submission");

const ownershipLostError = (): CodedError =>
    CodedError.create(ResultCode.NoCellOwner, "Another scheduler has taken the cell");

const createDeferred = (): {
    promise: Promise<Result<void, CodedError>>;
    resolve: (result: Result<void, CodedError>) => void;
} => {
    let resolve: (result: Result<void, CodedError>) => void = () => undefined;
    const promise = new Promise<Result<void, CodedError>>(settle => (resolve = settle));
    return { promise, resolve };
};
