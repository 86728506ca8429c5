import type { IncomingMessage } from "node:http";
import { GrowingBuffer } from "./growing-buffer.js";

/**
 * Reads a whole response as text. Rejects when it ends early or exceeds `maxBytes`; the connection is then closed. The
 * caller limits the time.
 */
export const readResponse = async (res: IncomingMessage, maxBytes: number): Promise<string> => {
    const buffer = GrowingBuffer.create();
    for await (const chunk of res as AsyncIterable<Buffer>) {
        if (buffer.size + chunk.length > maxBytes) {
            throw new Error(`The response exceeds ${maxBytes} bytes`);
        }
        buffer.add(chunk);
    }
    return buffer.bytes.toString("utf8");
};
