import type { IncomingMessage } from "node:http";
import { CodedError } from "@samphireward/core/coded-error";
import { GrowingBuffer } from "@samphireward/core/growing-buffer";
import { ResultCode } from "@samphireward/core/result-code";

/** Reads a whole body as text. Throws a `CodedError` when it exceeds the limit or ends early. */
export const readLimitedBody = async (req: IncomingMessage, maxBytes: number): Promise<string> => {
    const buffer = GrowingBuffer.create();
    let sizeBytes = 0;
    try {
        for await (const chunk of req as AsyncIterable<Buffer>) {
            sizeBytes += chunk.length;
            if (sizeBytes > maxBytes) {
                break;
            }
            buffer.add(chunk);
        }
    } catch {
        throw CodedError.create(ResultCode.CallerGone, "The caller closed its connection");
    }
    if (sizeBytes > maxBytes) {
        throw CodedError.create(ResultCode.RequestTooLarge, `The body exceeds ${maxBytes} bytes`);
    }
    return buffer.bytes.toString("utf8");
};
