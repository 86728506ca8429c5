import type { IncomingHttpHeaders } from "node:http";
import { resultCodeTable } from "@samphireward/core/result-code-table";
import type { ResultCode } from "@samphireward/core/result-code";
import { parseJson } from "./parse-json.js";

const parseResultCode = (value: unknown): ResultCode | undefined => {
    const code = Number(value) as ResultCode;
    return resultCodeTable.has(code) ? code : undefined;
};

/** The result code of an answer: its header `samphireward-code`, or else the field `code` of its body. */
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
