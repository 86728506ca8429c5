import type { ResultCode } from "./result-code.js";

/** An error that carries a numbered result code. Programs evaluate `code`; `message` is for people. */
export class CodedError extends Error {
    override readonly name = "CodedError";

    private constructor(
        readonly code: ResultCode,
        message: string,
    ) {
        super(message);
    }

    static create(code: ResultCode, message: string): CodedError {
        return new CodedError(code, message);
    }
}
