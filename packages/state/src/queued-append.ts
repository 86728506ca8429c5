import type { CodedError } from "@samphireward/core/coded-error";
import type { Result } from "ts-results-es";

/** An append that waits for a group commit. */
export interface QueuedAppend<T> {
    readonly transitions: readonly T[];
    /** The transitions as JSON, joined by commas. */
    readonly json: string;
    readonly bytes: number;
    readonly queuedAtMs: number;
    /** Monotonic time after which the append fails, unless it may have been written. */
    readonly deadlineMs: number;
    readonly resolve: (result: Result<void, CodedError>) => void;
}
