import type { Outcome } from "./outcome.js";
import type { ResultCode } from "./result-code.js";

/** Outcome of one result code, its HTTP status for callers and its exit code (0 to 255) for scripts. */
export interface ResultCodeInfo {
    readonly code: ResultCode;
    readonly name: keyof typeof ResultCode;
    /** `undefined` for codes of the command line and of settings, which no request or task operation gets. */
    readonly outcome: Outcome | undefined;
    readonly httpStatus: number;
    readonly exitCode: number;
    readonly meaning: string;
}
