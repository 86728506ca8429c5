import type { CodedError } from "@samphireward/core/coded-error";
import type { Result } from "ts-results-es";

/** An append that waits for its group commit. */
export interface QueuedAppend<T> {
    readonly transitions: readonly T[];
    /** The transitions as JSON, joined by commas. */
    readonly json: string;
    readonly bytes: number;
    readonly queuedMs: number;
    /** Monotonic time after which it is refused unless it may have been written. */
    readonly deadlineMs: number;
    readonly resolve: (result: Result<void, CodedError>) => void;
}
