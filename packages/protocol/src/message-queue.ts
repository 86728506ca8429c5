import { PassThrough } from "node:stream";

/** Messages that wait in a stream before its peer counts as too slow and the stream is ended. */
const MaxWaiting = 10_000;

/** Outgoing messages of one stream: pushed by the process, read as an async iterable by the transport. */
export class MessageQueue<T> {
    private readonly stream = new PassThrough({ objectMode: true, highWaterMark: MaxWaiting });

    private constructor() {
        // An aborted reader destroys the stream; the reader's side reports the reason.
        this.stream.on("error", () => undefined);
    }

    static create<T>(): MessageQueue<T> {
        return new MessageQueue<T>();
    }

    /** Queues a message. Returns false, and ends the queue, when the reader does not keep up. */
    push(message: T): boolean {
        if (this.stream.destroyed || this.stream.writableEnded) {
            return false;
        }
        if (this.stream.writableLength + this.stream.readableLength >= MaxWaiting) {
            this.stream.destroy();
            return false;
        }
        this.stream.write(message);
        return true;
    }

    /** Ends the queue after the messages that wait in it. */
    end(): void {
        this.stream.end();
    }

    messages(): AsyncIterable<T> {
        return this.stream;
    }
}
