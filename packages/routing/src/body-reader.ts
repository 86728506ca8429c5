import type { IncomingMessage } from "node:http";
import type { ByteBudget } from "./byte-budget.js";

/** Callbacks for the end of reading a request body. */
interface BodyEvents {
    readonly onBody: (body: Buffer) => void;
    readonly onTooLarge: () => void;
    /** The process-wide limit of buffered request bodies has been reached. */
    readonly onBudgetExceeded: () => void;
}

/** Buffers a complete request body of bounded size. The rest of a rejected body is read and discarded. */
export class BodyReader {
    private chunks: Buffer[] = [];
    private heldBytes = 0;
    isReading = true;

    private constructor(
        private readonly maxBytes: number,
        private readonly budget: ByteBudget,
        private readonly events: BodyEvents,
    ) {}

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
        this.chunks = [];
    }

    private receive(chunk: Buffer): void {
        if (!this.isReading) {
            return;
        }
        if (this.heldBytes + chunk.length > this.maxBytes) {
            this.release();
            this.events.onTooLarge();
        } else if (!this.budget.tryTake(chunk.length)) {
            this.release();
            this.events.onBudgetExceeded();
        } else {
            this.heldBytes += chunk.length;
            this.chunks.push(chunk);
        }
    }

    private end(): void {
        if (this.isReading) {
            this.isReading = false;
            const [first] = this.chunks;
            const isSingle = this.chunks.length === 1 && first !== undefined;
            this.events.onBody(isSingle ? first : Buffer.concat(this.chunks));
        }
    }
}
