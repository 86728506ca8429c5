import type { ServerResponse } from "node:http";
import { describeCode } from "@samphireward/core/describe-code";
import type { ResultCode } from "@samphireward/core/result-code";

/** Sends a JSON response with the code's HTTP status and the header `samphireward-code`. Returns the code. */
export const sendWithCode = (res: ServerResponse, code: ResultCode, body: unknown): ResultCode => {
    const text = JSON.stringify(body);
    res.writeHead(describeCode(code).httpStatus, {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(text),
        "samphireward-code": String(code),
    });
    res.end(text);
    return code;
};
