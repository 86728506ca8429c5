import { createServer } from "node:http";
import type { RequestListener, Server } from "node:http";
import { describeCode } from "@samphireward/core/describe-code";
import { ResultCode } from "@samphireward/core/result-code";
import { HeaderName } from "./header-name.js";
import type { RequestHandler } from "./request-handler.js";

const HeadersTimeoutMs = 5_000;
/** Also bounds how long the rest of a refused body is read. */
const RequestTimeoutMs = 15_000;
const TimeoutCheckIntervalMs = 500;

const rawResponse = (code: ResultCode): string => {
    const { httpStatus, name, meaning } = describeCode(code);
    const body = JSON.stringify({ code, name, message: meaning });
    const lines = [
        `HTTP/1.1 ${httpStatus} ${name}`,
        `${HeaderName.Code}: ${code}`,
        "content-type: application/json",
        `content-length: ${Buffer.byteLength(body)}`,
        "connection: close",
    ];
    return `${lines.join("\r\n")}\r\n\r\n${body}`;
};

/**
 * The callers' HTTP server with bounded headers, bounded times, and codes for requests that are not HTTP.
 * `listener` may answer some requests itself and hand the others to the handler.
 */
export const createCallersServer = (
    handler: RequestHandler,
    listener: RequestListener = (req, res) => handler.handle(req, res),
): Server => {
    const server = createServer(
        {
            maxHeaderSize: handler.settings.maxHeaderBytes,
            headersTimeout: HeadersTimeoutMs,
            requestTimeout: RequestTimeoutMs,
            keepAliveTimeout: handler.settings.callerIdleMs,
            connectionsCheckingInterval: TimeoutCheckIntervalMs,
        },
        listener,
    );
    server.on("clientError", (err: NodeJS.ErrnoException, socket) => {
        if (!socket.writable || handler.isAwaitingResponse(socket)) {
            socket.destroy();
            return;
        }
        const isTooLarge = err.code === "HPE_HEADER_OVERFLOW";
        socket.end(rawResponse(isTooLarge ? ResultCode.RequestTooLarge : ResultCode.BadRequest));
    });
    return server;
};
