import { createHash } from "node:crypto";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createServer } from "node:http";
import findMyWay from "find-my-way";
import { CodedError } from "./coded-error.js";
import { describeCode } from "./describe-code.js";
import { listen } from "./listen.js";
import type { JsonRequest } from "./json-request.js";
import type { JsonResponse } from "./json-response.js";
import { ResultCode } from "./result-code.js";

const MaxBodyBytes = 2 * 1024 * 1024;
const MaxHeaderBytes = 16 * 1024;
const RequestTimeoutMs = 30_000;

type Method = "GET" | "PUT" | "POST" | "DELETE";
type Handler = (req: JsonRequest) => Promise<JsonResponse> | JsonResponse;

const readBody = async (req: IncomingMessage): Promise<unknown> => {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    for await (const chunk of req as AsyncIterable<Buffer>) {
        sizeBytes += chunk.length;
        if (sizeBytes > MaxBodyBytes) {
            throw CodedError.create(ResultCode.RequestTooLarge, `The body exceeds ${MaxBodyBytes} bytes`);
        }
        chunks.push(chunk);
    }
    if (sizeBytes === 0) {
        return undefined;
    }
    try {
        return JSON.parse(Buffer.concat(chunks).toString("utf8"));
    } catch {
        throw CodedError.create(ResultCode.BadRequest, "The body is not valid JSON");
    }
};

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

/** Sends the text with its ETag, or 304 without a body if the client already has it (RFC 9110, section 13.1.2). */
const sendWithEtag = (req: IncomingMessage, res: ServerResponse, text: string): void => {
    const etag = `"${createHash("sha256").update(text).digest("base64url").slice(0, 22)}"`;
    res.setHeader("etag", etag);
    if (req.headers["if-none-match"] === etag) {
        res.writeHead(304);
        res.end();
        return;
    }
    sendText(res, 200, text);
};

const sendText = (res: ServerResponse, status: number, text: string): void => {
    res.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(text) });
    res.end(text);
};

const send = (req: IncomingMessage, res: ServerResponse, { status, body }: JsonResponse): void => {
    const text = JSON.stringify(body);
    if (req.method === "GET" && status === 200) {
        sendWithEtag(req, res, text);
    } else {
        sendText(res, status, text);
    }
};

/**
 * Small HTTP server for JSON APIs, used for administration ports and stand-ins. Limits the size of bodies and
 * headers and the time to receive a request. A `CodedError` thrown by a handler is sent with its HTTP status as
 * `{ code, message }`.
 */
export class JsonServer {
    private readonly router = findMyWay();
    private readonly server: Server;

    private constructor(
        private readonly authorize: (req: IncomingMessage) => boolean,
        private readonly onUnexpectedError: (err: unknown, req: IncomingMessage) => void,
    ) {
        this.server = createServer(
            { maxHeaderSize: MaxHeaderBytes, requestTimeout: RequestTimeoutMs },
            (req, res) => {
                this.handleRequest(req, res).catch((err: unknown) => {
                    this.onUnexpectedError(err, req);
                    res.destroy();
                });
            },
        );
    }

    /**
     * `authorize` is called for each request; a request that it rejects gets status 401. `onUnexpectedError` is called
     * with each error that is not a `CodedError`; its request gets status 500.
     */
    static create(
        authorize: (req: IncomingMessage) => boolean = () => true,
        onUnexpectedError: (err: unknown, req: IncomingMessage) => void = () => undefined,
    ): JsonServer {
        return new JsonServer(authorize, onUnexpectedError);
    }

    on(method: Method, path: string, handler: Handler): this {
        this.router.on(method, path, () => undefined, handler);
        return this;
    }

    /** Listens on `ip:port` and returns the address in use. With port 0 the system chooses the port. */
    listen(address: string): Promise<string> {
        return listen(this.server, address);
    }

    /** Stops listening, closes idle connections and resolves once all requests in progress are answered. */
    close(): Promise<void> {
        return new Promise(resolve => {
            this.server.close(() => resolve());
            this.server.closeIdleConnections();
        });
    }

    private async handleRequest(req: IncomingMessage, res: ServerResponse): Promise<void> {
        const abort = new AbortController();
        res.on("close", () => abort.abort());
        try {
            send(req, res, await this.dispatch(req, abort.signal));
        } catch (err) {
            if (!(err instanceof CodedError)) {
                this.onUnexpectedError(err, req);
            }
            res.setHeader("connection", "close");
            send(req, res, errorResponse(err));
            // Closing immediately would reset the connection before the client has read the response. The rest of
            // a rejected body is read and discarded, for at most `RequestTimeoutMs`.
            req.resume();
        }
    }

    private async dispatch(req: IncomingMessage, signal: AbortSignal): Promise<JsonResponse> {
        if (!this.authorize(req)) {
            throw CodedError.create(ResultCode.Unauthorized, "A valid bearer token is required");
        }
        const url = parseUrl(req);
        const match = this.router.find(req.method as Method, url.pathname);
        if (match === null) {
            return { status: 404, body: { message: `No such call: ${req.method} ${url.pathname}` } };
        }
        const body = await readBody(req);
        const handler = match.store as Handler;
        return handler({ params: match.params, query: url.searchParams, body, signal });
    }
}
