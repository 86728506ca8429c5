import { CodedError } from "@samphireward/core/coded-error";
import { ResultCode } from "@samphireward/core/result-code";
import type { TransitionLog } from "@samphireward/state/transition-log";
import type { Result } from "ts-results-es";
import { Err } from "ts-results-es";
import type { Transition } from "./transition.js";

/** Told once whether a transition is durable (and then applied), is not, or may be (`OwnerUnreachable`). */
type Settled = (result: Result<void, CodedError>) => void;

/** A transition that waits for the log. */
interface Item {
    readonly transition: Transition;
    readonly settled: Settled | undefined;
}

/** What happens after an append. */
interface Handlers {
    /** A batch is durable. Called in log order; the state is changed here and nowhere else. */
    readonly apply: (transition: Transition) => void;
    /** Another owner has the cell. */
    readonly lost: (err: CodedError) => void;
    /** A batch is durable and no append is under way any more. */
    readonly idle: () => void;
}

/** Keeps a record of a batch well below the store's value limit of 1 MB. */
const MaxBatchBytes = 200_000;

/** Estimated size of a transition without its payload or output. */
const BaseBytes = 120;

const sizeOf = (transition: Transition): number => {
    switch (transition.kind) {
        case "accepted":
            return BaseBytes + transition.spec.payload.length;
        case "finished":
            return BaseBytes + transition.output.length;
        case "failed":
            return BaseBytes + transition.error.length;
        case "forgotten":
            return BaseBytes * transition.keys.length;
        case "starting":
        case "running":
        case "checkpointing":
        case "released":
        case "cancelled":
        case "worker-mode":
            return BaseBytes;
    }
};

/**
 * Transitions on their way to the log, one append at a time, so that what waits meanwhile is written together
 * and a submission that was not handed to the log can still be refused.
 */
export class CommitQueue {
    private waiting: Item[] = [];
    private appending = false;
    private closed = false;

    private constructor(
        private readonly log: TransitionLog<Transition>,
        private readonly handlers: Handlers,
    ) {}

    static create(log: TransitionLog<Transition>, handlers: Handlers): CommitQueue {
        return new CommitQueue(log, handlers);
    }

    /** Whether the next flush starts an append at once. */
    get idle(): boolean {
        return !this.appending;
    }

    get length(): number {
        return this.waiting.length;
    }

    push(transition: Transition, settled?: Settled): void {
        if (this.closed) {
            settled?.(Err(notOwner()));
        } else {
            this.waiting.push({ transition, settled });
        }
    }

    /** Starts an append of what waits, unless one is under way. */
    flush(): void {
        if (this.appending || this.closed || this.waiting.length === 0) {
            return;
        }
        const batch = this.take();
        this.appending = true;
        void this.append(batch);
    }

    /** Drops what waits and accepts nothing more. An append under way still settles. */
    close(): void {
        this.closed = true;
        const dropped = this.waiting;
        this.waiting = [];
        settleAll(dropped, Err(notOwner()));
    }

    private take(): Item[] {
        let bytes = 0;
        let count = 0;
        for (const { transition } of this.waiting) {
            bytes += sizeOf(transition);
            if (count > 0 && bytes > MaxBatchBytes) {
                break;
            }
            count += 1;
        }
        return this.waiting.splice(0, count);
    }

    private async append(batch: readonly Item[]): Promise<void> {
        const transitions = batch.map(item => item.transition);
        const result = await this.log.append(transitions);
        this.appending = false;
        if (result.isOk()) {
            transitions.forEach(transition => this.handlers.apply(transition));
            settleAll(batch, result);
            this.handlers.idle();
        } else if (result.error.code === ResultCode.StoreUnavailable && !this.closed) {
            // Nothing was written; the next tick tries again.
            this.waiting.unshift(...batch);
        } else {
            const mayBeDurable = result.error.code === ResultCode.OwnerUnreachable;
            settleAll(batch, mayBeDurable ? result : Err(notOwner()));
            this.close();
            this.handlers.lost(result.error);
        }
    }
}

const notOwner = (): CodedError =>
    CodedError.create(ResultCode.NoCellOwner, "Another scheduler has taken the cell");

const settleAll = (items: readonly Item[], result: Result<void, CodedError>): void => {
    for (const { settled } of items) {
        settled?.(result);
    }
};
