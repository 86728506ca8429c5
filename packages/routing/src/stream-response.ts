import type { IncomingMessage, ServerResponse } from "node:http";

interface StreamEvents {
    /** The first bytes of the body or its end have arrived. Returns `false` to stop. */
    readonly onStart: () => boolean;
    /** Counts bytes and returns how long to wait before more are read, in milliseconds. */
    readonly onChunk: (bytes: number) => number;
    /** The whole body has been read and written. */
    readonly onEnd: () => void;
}

/** Passes the body of an answer on with back-pressure: nothing is read while the caller's connection is full. */
export const streamResponse = (answer: IncomingMessage, res: ServerResponse, events: StreamEvents): void => {
    let isStarted = false;
    let isFull = false;
    let isDelayed = false;
    const resume = (): void => {
        if (!isFull && !isDelayed) {
            answer.resume();
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
    answer.on("data", (chunk: Buffer) => {
        if (!start()) {
            return;
        }
        isFull = !res.write(chunk);
        const delayMs = events.onChunk(chunk.length);
        if (delayMs > 0) {
            delay(delayMs);
        }
        if (isFull || isDelayed) {
            answer.pause();
        }
    });
    answer.on("end", () => {
        if (answer.complete && start()) {
            events.onEnd();
        }
    });
};
