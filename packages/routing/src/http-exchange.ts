import { request } from "node:http";
import type { ClientRequest, IncomingMessage } from "node:http";
import { GrowingBuffer } from "@samphireward/core/growing-buffer";
import { AttemptOutcome } from "./attempt-outcome.js";
import { HeaderName } from "./header-name.js";
import type { TargetConnection } from "./target-connection.js";

/** The request to send to the target, and limits for its response. */
interface HttpExchangeOptions {
    readonly method: string;
    readonly path: string;
    /** Flat list of alternating names and values. */
    readonly headers: readonly string[];
    readonly body: Buffer | undefined;
    readonly requestId: string;
    readonly maxHeaderBytes: number;
    readonly heldAnswerBytes: number;
}

interface HttpExchangeEvents {
    /** A short response has been received completely. */
    readonly onComplete: (response: IncomingMessage, body: Buffer | undefined) => void;
    /** The headers of a long response have arrived; the receiver reads its body from `response`. */
    readonly onHeaders: (response: IncomingMessage) => void;
    /** Called at most once, and never after `onComplete`. */
    readonly onFailed: (outcome: AttemptOutcome) => void;
    readonly onLeaving: () => void;
    readonly onBytes: (count: number) => void;
}

/** Typical combined length of a status line and the terminator of the headers. */
const StatusLineOverheadBytes = 19;

const outcomeOfError = (code: string | undefined): AttemptOutcome => {
    if (code === "HPE_HEADER_OVERFLOW") {
        return AttemptOutcome.HeadersTooLarge;
    }
    return code?.startsWith("HPE_") === true ? AttemptOutcome.Malformed : AttemptOutcome.ConnectionLost;
};

/** One HTTP request and its response on one connection. */
export class HttpExchange {
    private response: IncomingMessage | undefined;
    private isSettled = false;
    private readonly held: GrowingBuffer;
    private readonly req: ClientRequest;

    private constructor(
        readonly connection: TargetConnection,
        private readonly options: HttpExchangeOptions,
        private readonly events: HttpExchangeEvents,
    ) {
        const { method, path, headers, maxHeaderBytes } = options;
        this.held = GrowingBuffer.create();
        this.req = request({
            agent: connection.agent,
            method,
            path,
            headers: headers as string[],
            maxHeaderSize: maxHeaderBytes,
        });
        this.req.on("response", response => this.receiveHeaders(response));
        this.req.on("error", (err: NodeJS.ErrnoException) => this.fail(outcomeOfError(err.code)));
        this.req.on("close", () => this.closeWithoutResponse());
        this.req.end(options.body);
    }

    /** Sends the request immediately: from here on, the target may run it. */
    static send(
        connection: TargetConnection,
        options: HttpExchangeOptions,
        events: HttpExchangeEvents,
    ): HttpExchange {
        return new HttpExchange(connection, options, events);
    }

    /** Closes the connection, so that a late response cannot reach another caller. Emits no further event. */
    abort(): void {
        this.isSettled = true;
        this.connection.destroy();
    }

    /** Marks a streamed response as completely forwarded. */
    complete(): void {
        this.isSettled = true;
    }

    /** A response that switches protocols closes the connection without an error event. */
    private closeWithoutResponse(): void {
        if (this.response === undefined) {
            this.fail(AttemptOutcome.ConnectionLost);
        }
    }

    private receiveHeaders(response: IncomingMessage): void {
        this.response = response;
        response.on("error", (err: NodeJS.ErrnoException) => this.fail(outcomeOfError(err.code)));
        this.events.onBytes(
            response.rawHeaders.reduce((sum, text) => sum + text.length + 2, StatusLineOverheadBytes),
        );
        if (response.headers[HeaderName.Leaving] === "1") {
            this.events.onLeaving();
        }
        if (!this.isWellFormed(response)) {
            this.fail(AttemptOutcome.Malformed);
            return;
        }
        const length = Number(response.headers["content-length"] ?? Infinity);
        const isBodiless = this.isBodiless(response);
        if (isBodiless || length <= this.options.heldAnswerBytes || this.isRefusal(response)) {
            this.collect(response);
        } else {
            this.events.onHeaders(response);
        }
    }

    private collect(response: IncomingMessage): void {
        let heldBytes = 0;
        response.on("data", (chunk: Buffer) => {
            heldBytes += chunk.length;
            this.events.onBytes(chunk.length);
            if (heldBytes <= this.options.heldAnswerBytes) {
                this.held.add(chunk);
            }
        });
        response.on("end", () => this.finishBuffered(response));
    }

    private finishBuffered(response: IncomingMessage): void {
        if (this.isSettled || !response.complete) {
            return;
        }
        if (this.isRefusal(response)) {
            this.settle(AttemptOutcome.RefusedNotRun);
            return;
        }
        this.isSettled = true;
        this.events.onComplete(response, this.held.size > 0 ? this.held.bytes : undefined);
    }

    private isRefusal(response: IncomingMessage): boolean {
        return response.statusCode === 503 && response.headers[HeaderName.NotRun] === "1";
    }

    private isBodiless(response: IncomingMessage): boolean {
        const { statusCode } = response;
        return this.options.method === "HEAD" || statusCode === 204 || statusCode === 304;
    }

    /**
     * A response whose end is marked only by the close of the connection cannot be told from a truncated one.
     * A response with the id of another request is late or out of order.
     */
    private isWellFormed(response: IncomingMessage): boolean {
        const { headers } = response;
        const id = headers[HeaderName.RequestId];
        if (id !== undefined && id !== this.options.requestId) {
            return false;
        }
        const hasEnd = headers["content-length"] !== undefined || headers["transfer-encoding"] === "chunked";
        return hasEnd || this.isBodiless(response);
    }

    /** Closes the connection, because an unfinished exchange leaves it in an unknown state. */
    private fail(outcome: AttemptOutcome): void {
        if (this.isSettled) {
            return;
        }
        this.connection.destroy();
        const isEarlyEnd = outcome === AttemptOutcome.ConnectionLost && this.response !== undefined;
        this.settle(isEarlyEnd ? AttemptOutcome.Truncated : outcome);
    }

    private settle(outcome: AttemptOutcome): void {
        this.isSettled = true;
        this.events.onFailed(outcome);
    }
}
