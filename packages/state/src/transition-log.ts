import type { CodedError } from "@samphireward/core/coded-error";
import type { Result } from "ts-results-es";
import type { AppendOptions } from "./append-options.js";

/** A cell's durable, ordered log of transitions. Only the current owner's appends succeed. */
export abstract class TransitionLog<T> {
    /**
     * Appends transitions with the next group commit and resolves when they are durable. While the store is
     * unreachable a queued append waits. Fails with
     * - `StaleEpoch` when another process has become the owner; none of the transitions is durable,
     * - `StoreUnavailable` when the queue is full or the append expired in it; nothing was written,
     * - `RequestTooLarge` when the transitions exceed the size limit; nothing was written,
     * - `OwnerUnreachable` when another process has become the owner and it cannot be determined whether the
     *   transitions were durable before that.
     */
    abstract append(transitions: readonly T[], options?: AppendOptions): Promise<Result<void, CodedError>>;
}
