import type { ResultCode } from "@samphireward/core/result-code";

/** What a command found. The code gives the exit code; `json` and `text` show the same. */
export interface CommandResult {
    readonly code: ResultCode;
    /** Fields printed beside `code` with `--json`. */
    readonly json: Readonly<Record<string, unknown>>;
    /** For people, without a final line break. */
    readonly text: string;
}
