import { Agent, request } from "node:http";
import type { JsonResponse } from "./json-response.js";
import { parseAddress } from "./parse-address.js";

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
    readonly timeoutMs: number;
    readonly headers?: Readonly<Record<string, string>>;
}

/**
 * HTTP client for JSON servers, with keep-alive connections. `call` rejects when no complete response arrives
 * within the timeout; whether the request took effect is then unknown.
 */
export class JsonClient {
    private readonly agent = new Agent({ keepAlive: true, maxSockets: 16 });

    private constructor(private readonly address: string) {}

    static create(address: string): JsonClient {
        return new JsonClient(address);
    }

    call(method: string, path: string, options: CallOptions): Promise<JsonResponse> {
        const text = options.body === undefined ? undefined : JSON.stringify(options.body);
        const { host, port } = parseAddress(this.address);
        const headers = {
            ...options.headers,
            ...(text === undefined ? {} : { "content-type": "application/json" }),
        };
        return new Promise((resolve, reject) => {
            const req = request({ host, port, method, path, headers, agent: this.agent }, res => {
                const chunks: Buffer[] = [];
                let sizeBytes = 0;
                res.on("data", (chunk: Buffer) => {
                    sizeBytes += chunk.length;
                    chunks.push(chunk);
                    if (sizeBytes > MaxResponseBytes) {
                        res.destroy(new Error(`The response exceeds ${MaxResponseBytes} bytes`));
                    }
                });
                res.on("error", err => {
                    clearTimeout(timer);
                    reject(err);
                });
                res.on("end", () => {
                    clearTimeout(timer);
                    const body = parseResponseText(Buffer.concat(chunks).toString("utf8"));
                    if (body instanceof Error) {
                        reject(body);
                    } else {
                        resolve({ status: res.statusCode ?? 0, body, etag: res.headers.etag });
                    }
                });
            });
            // The connection is closed too, so that a late response is not taken for that of the next request.
            const timer = setTimeout(() => {
                req.destroy(new Error(`No complete response within ${options.timeoutMs} ms`));
            }, options.timeoutMs);
            req.on("error", err => {
                clearTimeout(timer);
                reject(err);
            });
            req.end(text);
        });
    }

    /** Closes all connections. */
    close(): void {
        this.agent.destroy();
    }
}
