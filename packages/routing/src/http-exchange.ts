import { request } from "node:http";
import type { ClientRequest, IncomingMessage } from "node:http";
import { AttemptOutcome } from "./attempt-outcome.js";
import { HeaderName } from "./header-name.js";
import type { TargetConnection } from "./target-connection.js";

/** What is sent to the target. */
interface HttpExchangeOptions {
    readonly method: string;
    readonly path: string;
    /** Flat list of names and values. */
    readonly headers: readonly string[];
    readonly body: Buffer | undefined;
    readonly requestId: string;
    readonly maxHeaderBytes: number;
    readonly heldAnswerBytes: number;
}

interface HttpExchangeEvents {
    /** A short answer is complete. */
    readonly onComplete: (answer: IncomingMessage, body: Buffer | undefined) => void;
    /** The headers of a long answer have arrived; its body has to be read from `answer`. */
    readonly onHeaders: (answer: IncomingMessage) => void;
    /** Called at most once, and never after `onWhole`. */
    readonly onFailed: (state: AttemptOutcome) => void;
    readonly onLeaving: () => void;
    readonly onBytes: (count: number) => void;
}

/** Usual length of a status line and of the end of the headers. */
const StatusLineOverheadBytes = 19;

const outcomeOfError = (code: string | undefined): AttemptOutcome => {
    if (code === "HPE_HEADER_OVERFLOW") {
        return AttemptOutcome.HeadersTooLarge;
    }
    return code?.startsWith("HPE_") === true ? AttemptOutcome.Malformed : AttemptOutcome.ConnectionLost;
};

/** One send of a request on one connection. */
export class HttpExchange {
    private answer: IncomingMessage | undefined;
    private isSettled = false;
    private readonly chunks: Buffer[] = [];
    private readonly req: ClientRequest;

    private constructor(
        readonly connection: TargetConnection,
        private readonly options: HttpExchangeOptions,
        private readonly events: HttpExchangeEvents,
    ) {
        const { method, path, headers, maxHeaderBytes } = options;
        this.req = request({
            agent: connection.agent,
            method,
            path,
            headers: headers as string[],
            maxHeaderSize: maxHeaderBytes,
        });
        this.req.on("response", answer => this.receiveHeaders(answer));
        this.req.on("error", (err: NodeJS.ErrnoException) => this.fail(outcomeOfError(err.code)));
        this.req.on("close", () => this.closeWithoutAnswer());
        this.req.end(options.body);
    }

    /** Sends the request at once: from here on, it may run. */
    static send(
        connection: TargetConnection,
        options: HttpExchangeOptions,
        events: HttpExchangeEvents,
    ): HttpExchange {
        return new HttpExchange(connection, options, events);
    }

    /** Closes the connection, so that a late answer cannot reach another caller. No event follows. */
    abort(): void {
        this.isSettled = true;
        this.connection.destroy();
    }

    /** A streamed answer has been passed on whole. */
    complete(): void {
        this.isSettled = true;
    }

    /** An answer that switches protocols closes the connection without an error. */
    private closeWithoutAnswer(): void {
        if (this.answer === undefined) {
            this.fail(AttemptOutcome.ConnectionLost);
        }
    }

    private receiveHeaders(answer: IncomingMessage): void {
        this.answer = answer;
        answer.on("error", (err: NodeJS.ErrnoException) => this.fail(outcomeOfError(err.code)));
        this.events.onBytes(
            answer.rawHeaders.reduce((sum, text) => sum + text.length + 2, StatusLineOverheadBytes),
        );
        if (answer.headers[HeaderName.Leaving] === "1") {
            this.events.onLeaving();
        }
        if (!this.isWellFormed(answer)) {
            this.fail(AttemptOutcome.Malformed);
            return;
        }
        const length = Number(answer.headers["content-length"] ?? Infinity);
        const isBodiless = this.isBodiless(answer);
        if (isBodiless || length <= this.options.heldAnswerBytes || this.isRefusal(answer)) {
            this.collect(answer);
        } else {
            this.events.onHeaders(answer);
        }
    }

    private collect(answer: IncomingMessage): void {
        let held = 0;
        answer.on("data", (chunk: Buffer) => {
            held += chunk.length;
            this.events.onBytes(chunk.length);
            if (held <= this.options.heldAnswerBytes) {
                this.chunks.push(chunk);
            }
        });
        answer.on("end", () => this.finishBuffered(answer));
    }

    private finishBuffered(answer: IncomingMessage): void {
        if (this.isSettled || !answer.complete) {
            return;
        }
        if (this.isRefusal(answer)) {
            this.settle(AttemptOutcome.RefusedNotRun);
            return;
        }
        this.isSettled = true;
        const [first] = this.chunks;
        this.events.onComplete(answer, this.chunks.length > 1 ? Buffer.concat(this.chunks) : first);
    }

    private isRefusal(answer: IncomingMessage): boolean {
        return answer.statusCode === 503 && answer.headers[HeaderName.NotRun] === "1";
    }

    private isBodiless(answer: IncomingMessage): boolean {
        const { statusCode } = answer;
        return this.options.method === "HEAD" || statusCode === 204 || statusCode === 304;
    }

    /**
     * An answer whose end is marked only by the end of the connection cannot be told from a truncated one.
     * An answer with the id of another request is late or out of order.
     */
    private isWellFormed(answer: IncomingMessage): boolean {
        const { headers } = answer;
        const id = headers[HeaderName.RequestId];
        if (id !== undefined && id !== this.options.requestId) {
            return false;
        }
        const hasEnd = headers["content-length"] !== undefined || headers["transfer-encoding"] === "chunked";
        return hasEnd || this.isBodiless(answer);
    }

    /** Failures of an unfinished exchange leave the connection in an unknown state, so it is closed. */
    private fail(state: AttemptOutcome): void {
        if (this.isSettled) {
            return;
        }
        this.connection.destroy();
        const isEarlyEnd = state === AttemptOutcome.ConnectionLost && this.answer !== undefined;
        this.settle(isEarlyEnd ? AttemptOutcome.Truncated : state);
    }

    private settle(state: AttemptOutcome): void {
        this.isSettled = true;
        this.events.onFailed(state);
    }
}
