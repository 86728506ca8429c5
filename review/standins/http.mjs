import { createServer, request } from "node:http";

/** Binds an HTTP server to a free port of a loopback address. Returns `address:port`. */
export const listenOn = (server, host) =>
    new Promise((resolve, reject) => {
        server.on("error", reject);
        server.listen(0, host, () => resolve(`${host}:${server.address().port}`));
    });

/**
 * Creates a server of JSON calls. `handle` gets method, URL, headers and body, and returns `{ status, body }`, or
 * undefined for a call that is never answered.
 */
export const createJsonServer = handle =>
    createServer((req, res) => {
        const chunks = [];
        req.on("data", chunk => chunks.push(chunk));
        req.on("error", () => undefined);
        req.on("end", async () => {
            const text = Buffer.concat(chunks).toString("utf8");
            const answer = await handle({
                method: req.method,
                url: new URL(req.url, "http://standin"),
                headers: req.headers,
                body: text === "" ? undefined : JSON.parse(text),
                isClosed: () => res.destroyed,
            });
            if (answer === undefined || res.destroyed) {
                return;
            }
            res.writeHead(answer.status, { "content-type": "application/json" });
            res.end(answer.body === undefined ? "" : JSON.stringify(answer.body));
        });
    });

/** Sends a client's call on a channel of its own. Resolves to `{ status, body }`; status 0 if there is no answer. */
export const callJson = (address, method, path, { host, body, timeoutMs = 3_000 } = {}) =>
    new Promise(resolve => {
        const [hostname, port] = address.split(":");
        const headers = {
            ...(host === undefined ? {} : { host }),
            "content-type": "application/json",
            "x-deadline-milliseconds": String(timeoutMs),
        };
        const fail = () => resolve({ status: 0, body: {} });
        const req = request({ hostname, port, method, path, headers, agent: false }, res => {
            const chunks = [];
            res.on("data", chunk => chunks.push(chunk));
            res.on("error", fail);
            res.on("end", () => {
                const text = Buffer.concat(chunks).toString("utf8");
                resolve({ status: res.statusCode, body: text === "" ? {} : JSON.parse(text) });
            });
        });
        req.setTimeout(timeoutMs + 500, () => req.destroy());
        req.on("error", fail);
        req.end(body === undefined ? undefined : JSON.stringify(body));
    });

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));
