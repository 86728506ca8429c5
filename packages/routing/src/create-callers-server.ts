import type { RequestListener, Server } from "node:http";
import { BoundedServer } from "@samphireward/core/bounded-server";
import { deriveServerLimits } from "@samphireward/core/derive-server-limits";
import { describeCode } from "@samphireward/core/describe-code";
import { ResultCode } from "@samphireward/core/result-code";
import type { RefusalReason } from "@samphireward/core/refusal-reason";
import type { ServerLimits } from "@samphireward/core/server-limits";
import { HeaderName } from "./header-name.js";
import type { RequestHandler } from "./request-handler.js";

/** Limits of a process whose settings name none. The handler bounds requests and their bodies itself. */
const defaultLimits: ServerLimits = {
    ...deriveServerLimits({ fileDescriptors: 8_192 }),
    requests: 8_000,
    requestsPerConnection: 64,
    // From the opening of the connection; also bounds how long the rest of a rejected body is read.
    headerMs: 5_000,
    bodyMs: 10_000,
};

interface CallersServerOptions {
    readonly maxConnections?: number;
    readonly onRefused?: (reason: RefusalReason) => void;
}

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
 * Creates the HTTP server for callers, with limits for connections, header size and times, which responds with a result
 * code to input that is not valid HTTP. `listener` may handle some requests itself and pass the others to the handler.
 */
export const createCallersServer = (
    handler: RequestHandler,
    listener: RequestListener = (req, res) => handler.handle(req, res),
    { maxConnections = defaultLimits.connections, onRefused }: CallersServerOptions = {},
): Server => {
    const { server } = BoundedServer.create({
        limits: { ...defaultLimits, connections: maxConnections },
        http: {
            maxHeaderSize: handler.settings.maxHeaderBytes,
            keepAliveTimeout: handler.settings.callerIdleMs,
        },
        listener: (req, res) => listener(req, res),
        ...(onRefused && { onRefused }),
        respondToParserError: (err, socket) => {
            if (!socket.writable || handler.isAwaitingResponse(socket)) {
                socket.destroy();
                return;
            }
            const isTooLarge = err.code === "HPE_HEADER_OVERFLOW";
            socket.end(rawResponse(isTooLarge ? ResultCode.RequestTooLarge : ResultCode.BadRequest));
        },
    });
    return server;
};
