/** Limits the number of bytes that are buffered at the same time. */
export class ByteBudget {
    private heldBytes = 0;

    private constructor(private readonly maxBytes: number) {}

    static create(maxBytes: number): ByteBudget {
        return new ByteBudget(maxBytes);
    }

    tryTake(bytes: number): boolean {
        if (this.heldBytes + bytes > this.maxBytes) {
            return false;
        }
        this.heldBytes += bytes;
        return true;
    }

    release(bytes: number): void {
        this.heldBytes -= bytes;
    }
}
