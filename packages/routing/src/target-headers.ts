import type { IncomingMessage } from "node:http";
import { endToEndHeaders } from "./end-to-end-headers.js";
import { HeaderName } from "./header-name.js";

/** Methods whose requests usually have no body, so that a missing body needs no `content-length`. */
const bodilessMethods: ReadonlySet<string> = new Set(["GET", "HEAD", "DELETE", "OPTIONS", "TRACE"]);

/** Builds the headers for the target: those of the caller, the remaining time, and the request id. */
export const targetHeaders = (
    req: IncomingMessage,
    body: Buffer | undefined,
    remainingMs: number,
    requestId: string,
): string[] => {
    const headers = endToEndHeaders(req.rawHeaders, req.headers.connection);
    headers.push(HeaderName.DeadlineMs, String(Math.max(1, Math.floor(remainingMs))));
    if (req.headers[HeaderName.RequestId] === undefined) {
        headers.push(HeaderName.RequestId, requestId);
    }
    const hasLength = req.headers["content-length"] !== undefined;
    if (!hasLength && (body !== undefined || !bodilessMethods.has(req.method ?? "GET"))) {
        headers.push("content-length", String(body?.length ?? 0));
    }
    return headers;
};
