import type { ServerResponse } from "node:http";
import { describeCode } from "@samphireward/core/describe-code";
import type { ResultCode } from "@samphireward/core/result-code";
import { HeaderName } from "./header-name.js";

/** Answers a caller with a result code: its HTTP status, the header and a JSON body. Returns the status. */
export const sendCode = (res: ServerResponse, code: ResultCode, isClosing: boolean): number => {
    const info = describeCode(code);
    const body = JSON.stringify({ code, name: info.name, message: info.meaning });
    const headers = [
        "content-type",
        "application/json",
        "content-length",
        String(Buffer.byteLength(body)),
        HeaderName.Code,
        String(code),
    ];
    if (isClosing) {
        headers.push("connection", "close");
    }
    res.writeHead(info.httpStatus, headers);
    res.end(body);
    return info.httpStatus;
};
