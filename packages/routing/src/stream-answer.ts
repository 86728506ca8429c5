import type { IncomingMessage, ServerResponse } from "node:http";

/**
 * Passes the body of an answer on with back-pressure: reading stops while the caller's connection is full, or
 * while `onChunk` asks to wait (milliseconds). `onEnd` is called when the whole body has been read.
 */
export const streamAnswer = (
    answer: IncomingMessage,
    res: ServerResponse,
    onChunk: (bytes: number) => number,
    onEnd: () => void,
): void => {
    let isFull = false;
    let isDelayed = false;
    const resume = (): void => {
        if (!isFull && !isDelayed) {
            answer.resume();
        }
    };
    res.on("drain", () => {
        isFull = false;
        resume();
    });
    answer.on("data", (chunk: Buffer) => {
        isFull = !res.write(chunk);
        const delayMs = onChunk(chunk.length);
        if (delayMs > 0) {
            isDelayed = true;
            setTimeout(() => {
                isDelayed = false;
                resume();
            }, delayMs);
        }
        if (isFull || isDelayed) {
            answer.pause();
        }
    });
    answer.on("end", () => {
        if (answer.complete) {
            onEnd();
        }
    });
};
