import type { IncomingMessage, ServerResponse } from "node:http";

interface StreamEvents {
    /** The first bytes of the body, or its end, have arrived. Returns `false` to ignore them. */
    readonly onStart: () => boolean;
    /** Counts bytes and returns how long to wait before reading more, in milliseconds. */
    readonly onChunk: (bytes: number) => number;
    /** The whole body has been read and written. */
    readonly onEnd: () => void;
}

/** Forwards the body of a response with back-pressure: reading pauses while the caller's connection is full. */
export const streamResponse = (
    response: IncomingMessage,
    res: ServerResponse,
    events: StreamEvents,
): void => {
    let isStarted = false;
    let isFull = false;
    let isDelayed = false;
    const resume = (): void => {
        if (!isFull && !isDelayed) {
            response.resume();
        }
    };
    const start = (): boolean => {
        isStarted ||= events.onStart();
        return isStarted;
    };
    const delay = (delayMs: number): void => {
        isDelayed = true;
        setTimeout(() => {
            isDelayed = false;
            resume();
        }, delayMs);
    };
    res.on("drain", () => {
        isFull = false;
        resume();
    });
    response.on("data", (chunk: Buffer) => {
        if (!start()) {
            return;
        }
        isFull = !res.write(chunk);
        const delayMs = events.onChunk(chunk.length);
        if (delayMs > 0) {
            delay(delayMs);
        }
        if (isFull || isDelayed) {
            response.pause();
        }
    });
    response.on("end", () => {
        if (response.complete && start()) {
            events.onEnd();
        }
    });
};
