/** Bytes that may be held at the same time. */
export class ByteBudget {
    private held = 0;

    private constructor(private readonly maxBytes: number) {}

    static create(maxBytes: number): ByteBudget {
        return new ByteBudget(maxBytes);
    }

    tryTake(bytes: number): boolean {
        if (this.held + bytes > this.maxBytes) {
            return false;
        }
        this.held += bytes;
        return true;
    }

    release(bytes: number): void {
        this.held -= bytes;
    }
}
