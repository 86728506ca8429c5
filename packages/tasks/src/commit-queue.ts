import type { CodedError } from "@samphireward/core/coded-error";
import { ResultCode } from "@samphireward/core/result-code";
import type { TransitionLog } from "@samphireward/state/transition-log";
import type { Transition } from "./transition.js";

/** A transition that waits for the log. */
interface Item {
    readonly transition: Transition;
    readonly settled: ((durable: boolean) => void) | undefined;
}

/** What happens with a batch. */
interface Handlers {
    /** A batch is durable. Called in log order; the state is changed here and nowhere else. */
    readonly apply: (transitions: readonly Transition[]) => void;
    /** Another owner has the cell; nothing of the batch is durable. */
    readonly lost: (err: CodedError) => void;
    /** No append is under way any more; more can be pushed and flushed. */
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
 * Transitions on their way to the log, one append at a time. While an append is under way the state is exactly
 * what the log holds before it, so that a snapshot of the state belongs to a known position.
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

    /** `settled` is called once: with true after the transition was applied, or with false when it never will be. */
    push(transition: Transition, settled?: (durable: boolean) => void): void {
        if (this.closed) {
            settled?.(false);
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
        settleAll(dropped, false);
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
            this.handlers.apply(transitions);
            settleAll(batch, true);
            this.handlers.idle();
        } else if (result.error.code === ResultCode.StoreUnavailable && !this.closed) {
            // Nothing was written; the next tick tries again.
            this.waiting.unshift(...batch);
        } else {
            settleAll(batch, false);
            this.close();
            this.handlers.lost(result.error);
        }
    }
}

const settleAll = (items: readonly Item[], durable: boolean): void => {
    for (const { settled } of items) {
        settled?.(durable);
    }
};
