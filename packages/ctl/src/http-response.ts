import type { ResultCode } from "@samphireward/core/result-code";

/** A complete HTTP response of a process. */
export interface HttpResponse {
    readonly status: number;
    /** From the header `samphireward-code` or the body's `code`; `undefined` if neither holds a known code. */
    readonly code: ResultCode | undefined;
    readonly text: string;
}
