import { CodedError } from "@samphireward/core/coded-error";
import { ResultCode } from "@samphireward/core/result-code";
import { runInBackground } from "@samphireward/core/run-in-background";
import type { TransitionLog } from "@samphireward/state/transition-log";
import type { Result } from "ts-results-es";
import { Err } from "ts-results-es";
import type { Transition } from "./transition.js";

/**
 * Called once with the result: the transition is durable and applied, is not durable, or may be durable
 * (`OwnerUnreachable`).
 */
type SettledCallback = (result: Result<void, CodedError>) => void;

/** Transition that waits to be appended to the log. */
interface QueuedTransition {
    readonly transition: Transition;
    readonly onSettled: SettledCallback | undefined;
}

/** Callbacks after an append. */
interface CommitHandlers {
    /** Called for each transition of a durable batch, in log order. The state is changed here and nowhere else. */
    readonly apply: (transition: Transition) => void;
    /** Called when another owner has taken the cell, and when a commit failed unexpectedly. */
    readonly onOwnershipLost: (err: CodedError) => void;
    /** Called when a batch is durable and no append is in progress any more. */
    readonly onIdle: () => void;
}

/** Keeps a record of a batch well below the store's value limit of 1 MB. */
const MaxBatchBytes = 200_000;

/** Estimated size of a transition without its payload or output. */
const TransitionBaseBytes = 120;

/** The log stores JSON in UTF-8: a character takes up to three bytes, and up to six if it is escaped. */
const jsonBytes = (text: string): number => Buffer.byteLength(JSON.stringify(text));

const estimateBytes = (transition: Transition): number => {
    switch (transition.kind) {
        case "accepted":
            return TransitionBaseBytes + jsonBytes(transition.spec.payload);
        case "finished":
            return TransitionBaseBytes + jsonBytes(transition.output);
        case "failed":
            return TransitionBaseBytes + jsonBytes(transition.error);
        case "forgotten":
            return TransitionBaseBytes * transition.keys.length;
        case "starting":
        case "running":
        case "checkpointing":
        case "attempt-loss":
        case "released":
        case "cancelled":
        case "given-up":
        case "worker-mode":
            return TransitionBaseBytes;
    }
};

/**
 * Queue of transitions for the log. One append is in progress at a time, so that transitions that arrive
 * meanwhile are written together and a submission that was not handed to the log can still be refused.
 */
export class CommitQueue {
    private waiting: QueuedTransition[] = [];
    private isAppending = false;
    private isClosed = false;

    private constructor(
        private readonly log: TransitionLog<Transition>,
        private readonly handlers: CommitHandlers,
    ) {}

    static create(log: TransitionLog<Transition>, handlers: CommitHandlers): CommitQueue {
        return new CommitQueue(log, handlers);
    }

    /** Whether the next flush starts an append at once. */
    get isIdle(): boolean {
        return !this.isAppending;
    }

    get length(): number {
        return this.waiting.length;
    }

    push(transition: Transition, onSettled?: SettledCallback): void {
        if (this.isClosed) {
            onSettled?.(Err(ownershipLostError()));
        } else {
            this.waiting.push({ transition, onSettled });
        }
    }

    /** Appends queued transitions, unless an append is in progress. */
    flush(): void {
        if (this.isAppending || this.isClosed || this.waiting.length === 0) {
            return;
        }
        const batch = this.takeBatch();
        this.isAppending = true;
        const appended = this.append(batch).catch((err: unknown) => {
            this.handleUnexpectedError(err);
            throw err;
        });
        runInBackground("commit", appended);
    }

    /** Drops the queued transitions and accepts no more. An append in progress still settles. */
    close(): void {
        this.isClosed = true;
        const dropped = this.waiting;
        this.waiting = [];
        settleAll(dropped, Err(ownershipLostError()));
    }

    private takeBatch(): QueuedTransition[] {
        let bytes = 0;
        let count = 0;
        for (const { transition } of this.waiting) {
            bytes += estimateBytes(transition);
            if (count > 0 && bytes > MaxBatchBytes) {
                break;
            }
            count += 1;
        }
        return this.waiting.splice(0, count);
    }

    /** The state may now lack durable transitions, so the cell is left to an owner that replays the log. */
    private handleUnexpectedError(err: unknown): void {
        this.close();
        const message = `a commit failed unexpectedly: ${String(err)}`;
        this.handlers.onOwnershipLost(CodedError.create(ResultCode.InternalError, message));
    }

    private async append(batch: readonly QueuedTransition[]): Promise<void> {
        const transitions = batch.map(item => item.transition);
        const result = await this.log.append(transitions);
        this.isAppending = false;
        if (result.isOk()) {
            transitions.forEach(transition => this.handlers.apply(transition));
            settleAll(batch, result);
            this.handlers.onIdle();
        } else if (result.error.code === ResultCode.StoreUnavailable && !this.isClosed) {
            // Nothing was written; the next tick tries again.
            this.waiting.unshift(...batch);
        } else {
            const mayBeDurable = result.error.code === ResultCode.OwnerUnreachable;
            settleAll(batch, mayBeDurable ? result : Err(ownershipLostError()));
            this.close();
            this.handlers.onOwnershipLost(result.error);
        }
    }
}

const ownershipLostError = (): CodedError =>
    CodedError.create(ResultCode.NoCellOwner, "Another scheduler has taken the cell");

const settleAll = (items: readonly QueuedTransition[], result: Result<void, CodedError>): void => {
    for (const { onSettled } of items) {
        onSettled?.(result);
    }
};
