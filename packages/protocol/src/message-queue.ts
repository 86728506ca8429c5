import { PassThrough } from "node:stream";

/** Number of queued messages at which the reader counts as too slow and the stream is ended. */
const MaxQueuedMessages = 10_000;

/** Queue of outgoing messages of one stream, which the transport reads as an async iterable. */
export class MessageQueue<T> {
    private readonly stream = new PassThrough({ objectMode: true, highWaterMark: MaxQueuedMessages });

    private constructor() {
        // An aborted reader destroys the stream; the reader reports the error.
        this.stream.on("error", () => undefined);
    }

    static create<T>(): MessageQueue<T> {
        return new MessageQueue<T>();
    }

    /** Queues a message. Returns false when the queue has ended, or ends it now because the reader is too slow. */
    push(message: T): boolean {
        if (this.stream.destroyed || this.stream.writableEnded) {
            return false;
        }
        if (this.stream.writableLength + this.stream.readableLength >= MaxQueuedMessages) {
            this.stream.destroy();
            return false;
        }
        this.stream.write(message);
        return true;
    }

    /** Ends the queue after the queued messages have been read. */
    end(): void {
        this.stream.end();
    }

    messages(): AsyncIterable<T> {
        return this.stream;
    }
}
