import type { CodedError } from "@samphireward/core/coded-error";
import type { Result } from "ts-results-es";
import type { AppendOptions } from "./append-options.js";

/** A cell's durable, ordered log of transitions. Only the current owner's appends succeed. */
export abstract class TransitionLog<T> {
    /**
     * Appends transitions with the next group commit and resolves once they are durable. Fails with
     * `StaleEpoch` when another owner has taken the cell (nothing of this call is durable), and with
     * `StoreUnavailable` when the queue is full before anything was written. While the store is out of reach
     * a queued append waits. `OwnerUnreachable` tells that another owner has taken the cell and that it cannot
     * be known any more whether this call was durable before that.
     */
    abstract append(transitions: readonly T[], options?: AppendOptions): Promise<Result<void, CodedError>>;
}
