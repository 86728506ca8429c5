import type { IncomingHttpHeaders } from "node:http";
import { resultCodeTable } from "@samphireward/core/result-code-table";
import type { ResultCode } from "@samphireward/core/result-code";
import { parseJson } from "./parse-json.js";

const parseResultCode = (value: unknown): ResultCode | undefined => {
    const code = Number(value) as ResultCode;
    return resultCodeTable.has(code) ? code : undefined;
};

/** Reads the result code of a response from the header `samphireward-code` or else from the body's field `code`. */
export const resultCodeOf = (headers: IncomingHttpHeaders, body: string): ResultCode | undefined => {
    const fromHeader = parseResultCode(headers["samphireward-code"]);
    if (fromHeader !== undefined) {
        return fromHeader;
    }
    const value = parseJson(body);
    return typeof value === "object" && value !== null && "code" in value
        ? parseResultCode(value.code)
        : undefined;
};
