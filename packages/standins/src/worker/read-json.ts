import type { IncomingMessage } from "node:http";

/** Longest request body that a stand-in reads. */
const MaxBodyBytes = 1024 * 1024;

/** Reads a JSON body; an empty body is an empty object. Throws a `SyntaxError` for anything else. */
export const readJson = async (req: IncomingMessage): Promise<unknown> => {
    const chunks: Buffer[] = [];
    let size = 0;
    for await (const chunk of req as AsyncIterable<Buffer>) {
        size += chunk.length;
        if (size > MaxBodyBytes) {
            throw new SyntaxError("the body is longer than 1 MiB");
        }
        chunks.push(chunk);
    }
    return size === 0 ? {} : (JSON.parse(Buffer.concat(chunks).toString("utf8")) as unknown);
};
