import type { ResultCode } from "@samphireward/core/result-code";

/** Result of a command. `code` determines the exit code; `json` and `text` hold the same information. */
export interface CommandResult {
    readonly code: ResultCode;
    /** Fields that `--json` prints in addition to `code`. */
    readonly json: Readonly<Record<string, unknown>>;
    /** Human-readable output, without a trailing line break. */
    readonly text: string;
}
