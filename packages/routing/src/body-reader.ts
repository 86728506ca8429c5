import type { IncomingMessage } from "node:http";
import { GrowingBuffer } from "@samphireward/core/growing-buffer";
import type { ByteBudget } from "./byte-budget.js";

/** Callbacks for the end of reading a request body. */
interface BodyEvents {
    readonly onBody: (body: Buffer) => void;
    readonly onTooLarge: () => void;
    /** The process-wide limit of buffered request bodies has been reached. */
    readonly onBudgetExceeded: () => void;
}

/**
 * Buffers a complete request body of bounded size, in one buffer: the budget counts the memory that it occupies, however
 * small its chunks are.
 * The rest of a rejected body is read and discarded.
 */
export class BodyReader {
    private buffer: GrowingBuffer;
    private heldBytes = 0;
    isReading = true;

    private constructor(
        private readonly maxBytes: number,
        private readonly budget: ByteBudget,
        private readonly events: BodyEvents,
    ) {
        this.buffer = GrowingBuffer.create();
    }

    static start(req: IncomingMessage, maxBytes: number, budget: ByteBudget, events: BodyEvents): BodyReader {
        const reader = new BodyReader(maxBytes, budget, events);
        req.on("error", () => reader.release());
        req.on("data", (chunk: Buffer) => reader.receive(chunk));
        req.on("end", () => reader.end());
        return reader;
    }

    /** Stops reading and returns the bytes of the body to the budget. */
    release(): void {
        this.isReading = false;
        this.budget.release(this.heldBytes);
        this.heldBytes = 0;
        this.buffer = GrowingBuffer.create();
    }

    private receive(chunk: Buffer): void {
        if (!this.isReading) {
            return;
        }
        const growth = this.buffer.growthFor(chunk.length);
        if (this.buffer.size + chunk.length > this.maxBytes) {
            this.release();
            this.events.onTooLarge();
        } else if (!this.budget.tryTake(growth)) {
            this.release();
            this.events.onBudgetExceeded();
        } else {
            this.heldBytes += growth;
            this.buffer.add(chunk);
        }
    }

    private end(): void {
        if (this.isReading) {
            this.isReading = false;
            this.events.onBody(this.buffer.bytes);
        }
    }
}
