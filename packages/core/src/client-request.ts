import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Result } from "ts-results-es";
import type { BodyCollector } from "./body-collector.js";
import type { BodyRefusal } from "./body-refusal.js";
import type { ClientConnection } from "./client-connection.js";

/** Time for which the rest of a refused body is read, so that the client can read the refusal. */
const LingerMs = 1_000;

/**
 * Bytes that the client has not read, apart from those in the system's buffers. `writableLength` alone counts a write
 * until all of it is sent; a long one would look as if the client read nothing. Node.js uses the same value for its
 * socket timeouts.
 */
const unreadBytes = (socket: Socket): number => {
    const { _handle: handle } = socket as Socket & { readonly _handle?: { writeQueueSize?: number } | null };
    return socket.writableLength === 0 ? 0 : socket.writableLength + (handle?.writeQueueSize ?? 0);
};

/** Callbacks of a request to its server. */
interface RequestEvents {
    /** The request is being handled, or it is no longer. */
    readonly onHandled: (connection: ClientConnection, isHandled: boolean) => void;
    readonly onClosed: (request: ClientRequest) => void;
}

/**
 * Whether the whole body has arrived. The parser marks a request without a body as complete only after its listener has
 * returned.
 */
const hasWholeBody = ({ complete, headers }: IncomingMessage): boolean =>
    complete || (headers["transfer-encoding"] === undefined && Number(headers["content-length"] ?? 0) === 0);

/** A request of a client on a `BoundedServer`, from its headers until its response is sent. */
export class ClientRequest {
    private isHandled = false;
    private isRunning = true;
    private isClosed = false;
    private releaseBody: (() => void) | undefined;
    /** Bytes of the response that the client had not read at the last check, and the time since when. */
    private unread = { bytes: 0, sinceMs: 0 };

    private constructor(
        readonly connection: ClientConnection,
        private readonly req: IncomingMessage,
        readonly res: ServerResponse,
        private readonly bodies: BodyCollector,
        private readonly events: RequestEvents,
    ) {
        this.setHandled(true);
        res.on("prefinish", () => this.finish());
        res.on("close", () => this.close());
    }

    static create(
        connection: ClientConnection,
        req: IncomingMessage,
        res: ServerResponse,
        bodies: BodyCollector,
        events: RequestEvents,
    ): ClientRequest {
        return new ClientRequest(connection, req, res, bodies, events);
    }

    /** Whether the connection was closed before the request was answered. */
    get isAbandoned(): boolean {
        return this.isClosed;
    }

    /** Keeps the request open until its handler is done. */
    handleWith(handler: Promise<void> | void): void {
        const done = (): void => {
            this.isRunning = false;
            this.checkClosed();
        };
        if (handler === undefined) {
            done();
        } else {
            handler.then(done, done);
        }
    }

    /** Reads the body, which is valid until the handler is done. While it is not complete, the server may refuse the request or close its connection. */
    async readBody(maxBytes: number): Promise<Result<Buffer, BodyRefusal>> {
        this.setHandled(false);
        const body = await this.bodies.read(this.req, maxBytes, release => (this.releaseBody = release));
        if (!this.isClosed) {
            this.setHandled(true);
        }
        return body;
    }

    /**
     * Sends a response. If the body is not complete, the response says that the connection is closed, and the rest of
     * the body is read and discarded for a short time: closing at once would reset the connection before the client has
     * read the response.
     */
    send(status: number, headers: Readonly<Record<string, string | number>>, text: string): void {
        const { req, res } = this;
        if (res.destroyed) {
            return;
        }
        const contentLength = Buffer.byteLength(text);
        if (hasWholeBody(req)) {
            res.writeHead(status, { ...headers, "content-length": contentLength });
            res.end(text);
            return;
        }
        this.connection.isClosing = true;
        res.writeHead(status, { ...headers, "content-length": contentLength, connection: "close" });
        res.write(text);
        const end = (): void => {
            clearTimeout(timer);
            res.end();
        };
        const timer = setTimeout(end, LingerMs);
        timer.unref();
        req.on("end", end);
        res.on("close", end);
        req.resume();
        this.setHandled(false);
    }

    /** Whether the client has read nothing of its response for this time. */
    isUnreadSince(nowMs: number, maxMs: number): boolean {
        const bytes = this.res.writableEnded ? unreadBytes(this.connection.socket) : 0;
        if (bytes === 0 || bytes !== this.unread.bytes) {
            this.unread = { bytes, sinceMs: nowMs };
        }
        return bytes > 0 && nowMs - this.unread.sinceMs > maxMs;
    }

    /**
     * Closes a response that waits for an earlier one on a connection that is closed. Node.js emits a close event only
     * for the response that has the connection, and listeners rely on that event.
     */
    closeWithConnection(): void {
        const { res } = this;
        if (res.socket === null && !res.writableFinished && !res.destroyed) {
            res.destroy();
            res.emit("close");
        }
    }

    private finish(): void {
        this.setHandled(false);
        if (!hasWholeBody(this.req)) {
            const timer = setTimeout(() => {
                if (!this.req.complete) {
                    this.connection.socket.destroy();
                }
            }, LingerMs);
            timer.unref();
        }
    }

    private close(): void {
        this.isClosed = true;
        this.setHandled(false);
        this.checkClosed();
    }

    private checkClosed(): void {
        if (this.isClosed && !this.isRunning) {
            this.releaseBody?.();
            this.events.onClosed(this);
        }
    }

    private setHandled(isHandled: boolean): void {
        if (isHandled !== this.isHandled) {
            this.isHandled = isHandled;
            this.events.onHandled(this.connection, isHandled);
        }
    }
}
