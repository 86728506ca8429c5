import type { Agent, ClientRequest, IncomingMessage } from "node:http";
import { request } from "node:http";
import { readResponse } from "@samphireward/core/read-response";
import type { HttpResponse } from "./http-response.js";

interface JsonRequest {
    readonly agent: Agent;
    readonly host: string;
    readonly port: number;
    readonly method: string;
    readonly path: string;
    readonly body?: object;
    readonly timeoutMs: number;
}

/** The tables and the records of a cell have at most a few MB. */
const MaxResponseBytes = 16 * 1024 * 1024;

const readBody = async (res: IncomingMessage): Promise<unknown> => {
    const text = await readResponse(res, MaxResponseBytes);
    return text === "" ? undefined : JSON.parse(text);
};

/** Calls back when the socket of the request is connected. From then on the request may reach the store. */
const onConnected = (req: ClientRequest, callback: () => void): void => {
    req.on("socket", socket => {
        if (socket.connecting) {
            socket.once("connect", callback);
        } else {
            callback();
        }
    });
};

/** Sends one JSON request and waits for the complete response. Never rejects. */
export const sendJson = (options: JsonRequest): Promise<HttpResponse> =>
    new Promise(resolve => {
        const payload = options.body === undefined ? undefined : JSON.stringify(options.body);
        let mayHaveBeenSent = false;
        const fail = (err: Error): void => resolve({ mayHaveBeenSent, message: err.message });
        const req = request({
            agent: options.agent,
            host: options.host,
            port: options.port,
            method: options.method,
            path: options.path,
            headers:
                payload === undefined
                    ? {}
                    : { "content-type": "application/json", "content-length": Buffer.byteLength(payload) },
        });
        const timer = setTimeout(
            () => req.destroy(new Error(`no answer within ${options.timeoutMs} ms`)),
            options.timeoutMs,
        );
        onConnected(req, () => (mayHaveBeenSent = true));
        req.on("error", fail);
        req.on("close", () => clearTimeout(timer));
        req.on("response", res => {
            readBody(res).then(
                body => resolve({ status: res.statusCode ?? 0, body, mayHaveBeenSent, message: "" }),
                fail,
            );
        });
        req.end(payload);
    });
