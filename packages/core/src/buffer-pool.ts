/**
 * Keeps buffers for reuse, by their size. Buffers are outside the heap and freed late: bodies that were refused at once
 * left several hundred MB of them to the garbage collector.
 */
export class BufferPool {
    private readonly free = new Map<number, Buffer[]>();
    private freeBytes = 0;

    private constructor(private readonly maxFreeBytes: number) {}

    /** `maxFreeBytes` is the maximum size of all unused buffers. */
    static create(maxFreeBytes: number): BufferPool {
        return new BufferPool(maxFreeBytes);
    }

    /** Returns a buffer of this size, with arbitrary content. */
    take(size: number): Buffer {
        const buffer = this.free.get(size)?.pop();
        if (buffer === undefined) {
            // A buffer of the pool of Node.js would keep the other 8 KB of that pool in memory.
            return Buffer.allocUnsafeSlow(size);
        }
        this.freeBytes -= size;
        return buffer;
    }

    /** Takes back a buffer that nothing refers to any more. */
    give(buffer: Buffer): void {
        const size = buffer.length;
        if (this.freeBytes + size > this.maxFreeBytes) {
            return;
        }
        this.freeBytes += size;
        const buffers = this.free.get(size);
        if (buffers === undefined) {
            this.free.set(size, [buffer]);
        } else {
            buffers.push(buffer);
        }
    }
}
