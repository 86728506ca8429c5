import { createHash } from "node:crypto";
import type { IncomingMessage } from "node:http";
import findMyWay from "find-my-way";
import { BoundedServer } from "./bounded-server.js";
import type { ClientRequest } from "./client-request.js";
import { CodedError } from "./coded-error.js";
import { deriveServerLimits } from "./derive-server-limits.js";
import { describeCode } from "./describe-code.js";
import { listen } from "./listen.js";
import type { JsonRequest } from "./json-request.js";
import type { JsonResponse } from "./json-response.js";
import type { RefusalReason } from "./refusal-reason.js";
import { ResultCode } from "./result-code.js";
import type { ServerLimits } from "./server-limits.js";

const MaxBodyBytes = 2 * 1024 * 1024;
const MaxHeaderBytes = 16 * 1024;
/** Time after which a refused client may retry, in seconds. */
const RetryAfterS = 1;

type Method = "GET" | "PUT" | "POST" | "DELETE";
type Handler = (req: JsonRequest) => Promise<JsonResponse> | JsonResponse;

const parseBody = (bytes: Buffer): unknown => {
    if (bytes.length === 0) {
        return undefined;
    }
    try {
        return JSON.parse(bytes.toString("utf8"));
    } catch {
        throw CodedError.create(ResultCode.BadRequest, "The body is not valid JSON");
    }
};

/** Result codes of the refusals of a body. */
const refusalCodes: ReadonlyMap<number, ResultCode> = new Map([
    [413, ResultCode.RequestTooLarge],
    [503, ResultCode.QueueFull],
]);

const parseUrl = (req: IncomingMessage): URL => {
    try {
        return new URL(req.url ?? "/", "http://localhost");
    } catch {
        throw CodedError.create(ResultCode.BadRequest, "The path is not valid");
    }
};

const errorResponse = (err: unknown): JsonResponse => {
    if (err instanceof CodedError) {
        return { status: describeCode(err.code).httpStatus, body: { code: err.code, message: err.message } };
    }
    const message = err instanceof Error ? err.message : String(err);
    const code = ResultCode.InternalError;
    return { status: describeCode(code).httpStatus, body: { code, message } };
};

const jsonHeaders = { "content-type": "application/json" };

/** Sends the text with its ETag, or 304 without a body if the client already has it (RFC 9110, section 13.1.2). */
const sendWithEtag = (req: IncomingMessage, request: ClientRequest, text: string): void => {
    const etag = `"${createHash("sha256").update(text).digest("base64url").slice(0, 22)}"`;
    if (req.headers["if-none-match"] === etag) {
        request.res.writeHead(304, { etag });
        request.res.end();
        return;
    }
    request.send(200, { ...jsonHeaders, etag }, text);
};

const send = (req: IncomingMessage, request: ClientRequest, { status, body }: JsonResponse): void => {
    const text = JSON.stringify(body);
    if (req.method === "GET" && status === 200) {
        sendWithEtag(req, request, text);
    } else {
        request.send(status, jsonHeaders, text);
    }
};

const sendError = (request: ClientRequest, err: unknown): void => {
    const { status, body } = errorResponse(err);
    const retryAfter: Record<string, number> = status === 503 ? { "retry-after": RetryAfterS } : {};
    request.send(status, { ...jsonHeaders, ...retryAfter, connection: "close" }, JSON.stringify(body));
};

/**
 * Small HTTP server for JSON APIs, used for administration ports and stand-ins. Limits the size of bodies and
 * headers and the time to receive a request. A `CodedError` thrown by a handler is sent with its HTTP status as
 * `{ code, message }`.
 */
export class JsonServer {
    private readonly router = findMyWay();
    private readonly bounded: BoundedServer;

    private constructor(
        private readonly authorize: (req: IncomingMessage) => boolean,
        private readonly onUnexpectedError: (err: unknown, req: IncomingMessage) => void,
        limits: ServerLimits,
        onRefused: (reason: RefusalReason) => void,
    ) {
        this.bounded = BoundedServer.create({
            limits,
            http: { maxHeaderSize: MaxHeaderBytes },
            listener: (req, res, request) =>
                this.handleRequest(req, request).catch((err: unknown) => {
                    this.onUnexpectedError(err, req);
                    res.destroy();
                }),
            onRefused,
        });
    }

    /**
     * `authorize` is called for each request; a request that it rejects gets status 401. `onUnexpectedError` is called
     * with each error that is not a `CodedError`; its request gets status 500. `onRefused` is called with the reason for
     * each refusal of a client that exceeds `limits`.
     */
    static create(
        authorize: (req: IncomingMessage) => boolean = () => true,
        onUnexpectedError: (err: unknown, req: IncomingMessage) => void = () => undefined,
        limits: ServerLimits = deriveServerLimits({}),
        onRefused: (reason: RefusalReason) => void = () => undefined,
    ): JsonServer {
        return new JsonServer(authorize, onUnexpectedError, limits, onRefused);
    }

    on(method: Method, path: string, handler: Handler): this {
        this.router.on(method, path, () => undefined, handler);
        return this;
    }

    /** Listens on `ip:port` and returns the address in use. With port 0 the system chooses the port. */
    listen(address: string): Promise<string> {
        return listen(this.bounded.server, address);
    }

    /** Stops listening, closes idle connections and resolves once all requests in progress are answered. */
    close(): Promise<void> {
        return new Promise(resolve => {
            this.bounded.server.close(() => resolve());
            this.bounded.server.closeIdleConnections();
        });
    }

    private async handleRequest(req: IncomingMessage, request: ClientRequest): Promise<void> {
        const abort = new AbortController();
        request.res.on("close", () => abort.abort());
        try {
            send(req, request, await this.dispatch(req, request, abort.signal));
        } catch (err) {
            if (!(err instanceof CodedError)) {
                this.onUnexpectedError(err, req);
            }
            sendError(request, err);
        }
    }

    private async dispatch(
        req: IncomingMessage,
        request: ClientRequest,
        signal: AbortSignal,
    ): Promise<JsonResponse> {
        if (!this.authorize(req)) {
            throw CodedError.create(ResultCode.Unauthorized, "A valid bearer token is required");
        }
        const url = parseUrl(req);
        const match = this.router.find(req.method as Method, url.pathname);
        if (match === null) {
            return { status: 404, body: { message: `No such call: ${req.method} ${url.pathname}` } };
        }
        const body = await request.readBody(MaxBodyBytes);
        if (body.isErr()) {
            const { status, text } = body.error;
            throw CodedError.create(refusalCodes.get(status) ?? ResultCode.BadRequest, text);
        }
        const handler = match.store as Handler;
        const { params } = match;
        return handler({ params, query: url.searchParams, body: parseBody(body.value), signal });
    }
}
