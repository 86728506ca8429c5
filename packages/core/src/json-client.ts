import { Agent, request } from "node:http";
import { GrowingBuffer } from "./growing-buffer.js";
import { IncompleteResponseError } from "./incomplete-response-error.js";
import type { JsonResponse } from "./json-response.js";
import { parseAddress } from "./parse-address.js";
import { ResponseTimer } from "./response-timer.js";

const MaxResponseBytes = 16 * 1024 * 1024;

/** Returns the decoded JSON, `undefined` for an empty response, or the error of the parser. */
const parseResponseText = (text: string): unknown => {
    try {
        return text === "" ? undefined : JSON.parse(text);
    } catch (err) {
        return err;
    }
};

/** Options of one call. */
interface CallOptions {
    readonly body?: unknown;
    /** Longest time until the response is complete or, with `maxIdleMs`, until it begins. */
    readonly timeoutMs: number;
    /** Longest time without data once the response has begun. */
    readonly maxIdleMs?: number;
    readonly headers?: Readonly<Record<string, string>>;
}

/**
 * HTTP client for JSON servers, with keep-alive connections. `call` rejects with an `IncompleteResponseError` when no
 * complete response arrives in time; whether the request took effect is then unknown.
 */
export class JsonClient {
    private readonly agent = new Agent({ keepAlive: true, maxSockets: 16 });

    private constructor(private readonly address: string) {}

    static create(address: string): JsonClient {
        return new JsonClient(address);
    }

    call(method: string, path: string, options: CallOptions): Promise<JsonResponse> {
        const text = options.body === undefined ? undefined : JSON.stringify(options.body);
        const headers = {
            ...options.headers,
            ...(text === undefined ? {} : { "content-type": "application/json" }),
        };
        return new Promise((resolve, reject) => {
            const { host, port } = parseAddress(this.address);
            let receivedBytes = 0;
            const req = request({ host, port, method, path, headers, agent: this.agent }, res => {
                const buffer = GrowingBuffer.create();
                const beganAtMs = performance.now();
                timer.noteProgress();
                res.on("data", (chunk: Buffer) => {
                    timer.noteProgress();
                    receivedBytes += chunk.length;
                    if (receivedBytes > MaxResponseBytes) {
                        res.destroy(new Error(`The response exceeds ${MaxResponseBytes} bytes`));
                    } else {
                        buffer.add(chunk);
                    }
                });
                res.on("error", fail);
                res.on("end", () => {
                    timer.stop();
                    const body = parseResponseText(buffer.bytes.toString("utf8"));
                    if (body instanceof Error) {
                        reject(body);
                    } else {
                        resolve({
                            status: res.statusCode ?? 0,
                            body,
                            etag: res.headers.etag,
                            receivedBytes,
                            transferMs: performance.now() - beganAtMs,
                        });
                    }
                });
            });
            const fail = (err: Error): void => {
                timer.stop();
                reject(IncompleteResponseError.create(err, receivedBytes));
            };
            // The connection is closed too, so that a late response is not taken for that of the next request.
            const timer = ResponseTimer.start(options, err => req.destroy(err));
            req.on("error", fail);
            req.end(text);
        });
    }

    /** Closes all connections. */
    close(): void {
        this.agent.destroy();
    }
}
