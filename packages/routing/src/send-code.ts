import type { ServerResponse } from "node:http";
import { describeCode } from "@samphireward/core/describe-code";
import type { ResultCode } from "@samphireward/core/result-code";
import { HeaderName } from "./header-name.js";

interface CodeResponse {
    readonly status: number;
    readonly headers: readonly string[];
    readonly body: string;
}

/** Cached by result code, because under overload most responses are refusals. */
const responses = new Map<ResultCode, CodeResponse>();

const responseFor = (code: ResultCode): CodeResponse => {
    const cached = responses.get(code);
    if (cached !== undefined) {
        return cached;
    }
    const info = describeCode(code);
    const body = JSON.stringify({ code, name: info.name, message: info.meaning });
    const length = String(Buffer.byteLength(body));
    const headers = [
        "content-type",
        "application/json",
        "content-length",
        length,
        HeaderName.Code,
        String(code),
    ];
    const response = { status: info.httpStatus, headers, body };
    responses.set(code, response);
    return response;
};

/** Responds to a caller with a result code: HTTP status, header and JSON body. Returns the status. */
export const sendCode = (res: ServerResponse, code: ResultCode, isClosing: boolean): number => {
    const { status, headers, body } = responseFor(code);
    // Copied, because writeHead may retain the array.
    res.writeHead(status, isClosing ? [...headers, "connection", "close"] : [...headers]);
    res.end(body);
    return status;
};
