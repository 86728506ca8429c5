import type { IncomingMessage, Server, ServerOptions, ServerResponse } from "node:http";
import { createServer } from "node:http";
import type { Socket } from "node:net";
import { BodyCollector } from "./body-collector.js";
import type { ClientConnection } from "./client-connection.js";
import { ClientRequest } from "./client-request.js";
import { createRequestClass } from "./create-request-class.js";
import { ReadTurns } from "./read-turns.js";
import { RefusalReason } from "./refusal-reason.js";
import type { ServerLimits } from "./server-limits.js";

const CheckIntervalMs = 500;
/** Time after which a refused client may retry, in seconds. */
const RetryAfterS = "1";

/** Time for a client to read the response to bytes that are not HTTP, in milliseconds. */
const ErrorLingerMs = 1_000;

/** Handles a request; it counts as open until the promise is settled, also when its connection is closed. */
type RequestListener = (
    req: IncomingMessage,
    res: ServerResponse,
    request: ClientRequest,
) => Promise<void> | void;

interface BoundedServerOptions {
    readonly limits: ServerLimits;
    /** Options of the HTTP server, apart from its times. */
    readonly http?: Pick<ServerOptions, "maxHeaderSize" | "keepAliveTimeout">;
    readonly listener: RequestListener;
    readonly onRefused?: (reason: RefusalReason) => void;
    /** Responds to bytes that are not HTTP and ends the connection; replaces the usual response. */
    readonly respondToParserError?: (err: NodeJS.ErrnoException, socket: Socket) => void;
}

/** Reason and status of an error of the HTTP parser; undefined if the client closed the connection. */
const explainParserError = (
    code = "",
): { readonly reason: RefusalReason; readonly status: string } | undefined => {
    switch (code) {
        case "HPE_HEADER_OVERFLOW":
            return { reason: RefusalReason.HeaderSize, status: "431 Request Header Fields Too Large" };
        case "HPE_CHUNK_EXTENSIONS_OVERFLOW":
            return { reason: RefusalReason.BodySize, status: "413 Payload Too Large" };
        case "ERR_HTTP_REQUEST_TIMEOUT":
            return { reason: RefusalReason.HeaderTime, status: "408 Request Timeout" };
        default:
            return code.startsWith("HPE_")
                ? { reason: RefusalReason.Malformed, status: "400 Bad Request" }
                : undefined;
    }
};

/**
 * HTTP server that stays within its limits whatever its clients do. Beyond a limit it refuses a request with 503, or
 * closes a connection on which no request is being handled: a request that is being handled keeps its place and is
 * completed, even if its connection is closed.
 */
export class BoundedServer {
    readonly server: Server;
    private readonly connections = new Map<Socket, ClientConnection>();
    /** Connections on which no request is being handled, in the order in which they came to this state. */
    private readonly idleConnections = new Set<ClientConnection>();
    private readonly requests = new Set<ClientRequest>();
    private readonly bodies: BodyCollector;
    private readonly limits: ServerLimits;
    private readonly onRefused: (reason: RefusalReason) => void;
    private readonly requestEvents = {
        onHandled: (connection: ClientConnection, isHandled: boolean): void =>
            this.countHandled(connection, isHandled),
        onClosed: (request: ClientRequest): void => this.removeRequest(request),
    };

    private constructor(private readonly options: BoundedServerOptions) {
        const { limits, http, onRefused = () => undefined } = options;
        this.limits = limits;
        this.onRefused = onRefused;
        this.bodies = BodyCollector.create(limits, onRefused);
        this.server = createServer(
            {
                ...http,
                headersTimeout: limits.headerMs,
                requestTimeout: limits.headerMs + limits.bodyMs,
                connectionsCheckingInterval: CheckIntervalMs,
                IncomingMessage: createRequestClass(socket => this.isRefused(socket), ReadTurns.create()),
            },
            (req, res) => this.accept(req, res),
        );
        this.server.on("connection", (socket: Socket) => this.addConnection(socket));
        this.server.on("upgrade", (_req, socket) => this.stopReading(socket as Socket));
        this.server.on("clientError", (err: NodeJS.ErrnoException, socket) =>
            this.answerParserError(err, socket as Socket),
        );
        const timer = setInterval(() => this.check(), CheckIntervalMs);
        timer.unref();
        this.server.on("close", () => clearInterval(timer));
    }

    static create(options: BoundedServerOptions): BoundedServer {
        return new BoundedServer(options);
    }

    private addConnection(socket: Socket): void {
        if (this.connections.size >= this.limits.connections) {
            this.onRefused(RefusalReason.Connections);
            const [oldest] = this.idleConnections;
            if (oldest === undefined) {
                socket.destroy();
                return;
            }
            this.destroy(oldest);
        }
        const connection: ClientConnection = {
            socket,
            openRequests: new Set(),
            handledRequests: 0,
            isClosing: false,
        };
        this.connections.set(socket, connection);
        this.idleConnections.add(connection);
        socket.on("close", () => {
            this.removeConnection(connection);
            connection.openRequests.forEach(request => request.closeWithConnection());
        });
    }

    private removeConnection(connection: ClientConnection): void {
        connection.isClosing = true;
        this.connections.delete(connection.socket);
        this.idleConnections.delete(connection);
    }

    private destroy(connection: ClientConnection): void {
        this.removeConnection(connection);
        connection.socket.destroy();
    }

    /** Whether no further request is read from the connection. */
    private isRefused(socket: Socket): boolean {
        const connection = this.connections.get(socket);
        return (
            connection === undefined ||
            connection.isClosing ||
            connection.openRequests.size >= this.limits.requestsPerConnection
        );
    }

    /** Ends a connection from which no further request is read. */
    private stopReading(socket: Socket): void {
        const connection = this.connections.get(socket);
        if (connection === undefined) {
            socket.destroy();
            return;
        }
        if (connection.isClosing) {
            // Node.js closes the connection after the response that said so. Unread data would reset it before that.
            socket.on("error", () => socket.destroy());
            socket.resume();
            return;
        }
        // The parser would go on to read requests from the connection until earlier responses are sent.
        this.onRefused(RefusalReason.Pipelining);
        this.destroy(connection);
    }

    private accept(req: IncomingMessage, res: ServerResponse): void {
        const connection = this.connections.get(req.socket);
        if (connection === undefined || connection.isClosing) {
            // The response to an earlier request said that the connection is closed, so that this one is not run.
            return;
        }
        if (this.requests.size >= this.limits.requests && !this.bodies.refuseOldest(RefusalReason.Requests)) {
            this.refuse(connection, res, RefusalReason.Requests);
            return;
        }
        const request = ClientRequest.create(connection, req, res, this.bodies, this.requestEvents);
        connection.openRequests.add(request);
        this.requests.add(request);
        request.handleWith(this.options.listener(req, res, request));
    }

    private refuse(connection: ClientConnection, res: ServerResponse, reason: RefusalReason): void {
        this.onRefused(reason);
        if (connection.openRequests.size > 0) {
            this.destroy(connection);
            return;
        }
        connection.isClosing = true;
        res.writeHead(503, { "retry-after": RetryAfterS, "content-length": "0", connection: "close" });
        res.end();
    }

    private removeRequest(request: ClientRequest): void {
        this.requests.delete(request);
        request.connection.openRequests.delete(request);
    }

    private countHandled(connection: ClientConnection, isHandled: boolean): void {
        connection.handledRequests += isHandled ? 1 : -1;
        if (connection.handledRequests > 0) {
            this.idleConnections.delete(connection);
        } else if (this.connections.has(connection.socket)) {
            this.idleConnections.add(connection);
        }
    }

    private check(): void {
        this.bodies.refuseLate();
        if (!this.server.listening) {
            this.closeUnused();
        }
        const nowMs = performance.now();
        for (const request of this.requests) {
            if (request.isUnreadSince(nowMs, this.limits.responseIdleMs)) {
                this.onRefused(RefusalReason.ResponseTime);
                this.destroy(request.connection);
            }
        }
    }

    /** Closes connections without a request. Node.js no longer checks the time for headers once the server is closed. */
    private closeUnused(): void {
        for (const connection of this.idleConnections) {
            if (connection.openRequests.size === 0) {
                this.destroy(connection);
            }
        }
    }

    private answerParserError(err: NodeJS.ErrnoException, socket: Socket): void {
        const explained = explainParserError(err.code);
        const connection = this.connections.get(socket);
        if (explained !== undefined) {
            this.onRefused(explained.reason);
        }
        if (connection !== undefined) {
            connection.isClosing = true;
        }
        if (this.options.respondToParserError !== undefined) {
            this.options.respondToParserError(err, socket);
        } else {
            // While a response is due on the connection, other bytes would be taken for it.
            if (explained !== undefined && socket.writable && connection?.openRequests.size === 0) {
                socket.write(`HTTP/1.1 ${explained.status}\r\nconnection: close\r\n\r\n`);
            }
            socket.destroySoon();
        }
        setTimeout(() => socket.destroy(), ErrorLingerMs).unref();
    }
}
