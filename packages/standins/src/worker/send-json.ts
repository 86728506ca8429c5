import type { ServerResponse } from "node:http";

/** Sends a JSON answer. */
export const sendJson = (res: ServerResponse, status: number, body: unknown): void => {
    const text = JSON.stringify(body);
    res.writeHead(status, {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(text),
    });
    res.end(text);
};
