import type { Outcome } from "./outcome.js";
import type { ResultCode } from "./result-code.js";

/** How one result code is shown to callers (HTTP status) and to scripts (exit code, 0 to 255). */
export interface ResultCodeInfo {
    readonly code: ResultCode;
    readonly name: keyof typeof ResultCode;
    /** `undefined` for codes of the command line and of settings, which no request carries. */
    readonly outcome: Outcome | undefined;
    readonly httpStatus: number;
    readonly exitCode: number;
    readonly meaning: string;
}
