import type { ServerResponse } from "node:http";
import { describeCode } from "@samphireward/core/describe-code";
import type { ResultCode } from "@samphireward/core/result-code";
import { HeaderName } from "./header-name.js";

interface CodeResponse {
    readonly status: number;
    readonly headers: readonly string[];
    readonly body: string;
}

/** Made once for each code: under overload, most answers are refusals. */
const responses = new Map<ResultCode, CodeResponse>();

const responseFor = (code: ResultCode): CodeResponse => {
    const known = responses.get(code);
    if (known !== undefined) {
        return known;
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
    const answer = { status: info.httpStatus, headers, body };
    responses.set(code, answer);
    return answer;
};

/** Answers a caller with a result code: its HTTP status, the header and a JSON body. Returns the status. */
export const sendCode = (res: ServerResponse, code: ResultCode, isClosing: boolean): number => {
    const { status, headers, body } = responseFor(code);
    // writeHead may keep the list.
    res.writeHead(status, isClosing ? [...headers, "connection", "close"] : [...headers]);
    res.end(body);
    return status;
};
