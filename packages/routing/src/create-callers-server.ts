import { createServer } from "node:http";
import type { RequestListener, Server } from "node:http";
import { describeCode } from "@samphireward/core/describe-code";
import { ResultCode } from "@samphireward/core/result-code";
import { HeaderName } from "./header-name.js";
import type { RequestHandler } from "./request-handler.js";

const HeadersTimeoutMs = 5_000;
/** Also bounds how long the rest of a rejected body is read. */
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
 * Creates the HTTP server for callers, with limits for header size and timeouts, which responds with a result code
 * to input that is not valid HTTP. `listener` may handle some requests itself and pass the others to the handler.
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
