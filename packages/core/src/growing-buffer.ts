import { BufferPool } from "./buffer-pool.js";

/** Capacities are powers of two from here on; larger bodies are copied a few times while they grow. */
const MinCapacity = 1_024;

const noPool = BufferPool.create(0);

/**
 * Collects chunks in one buffer, so that the memory is in proportion to the bytes: each chunk that is kept as an object
 * of its own occupies about 200 bytes, even if it has one byte.
 */
export class GrowingBuffer {
    private buffer: Buffer = Buffer.alloc(0);
    private isPooled = false;
    private length = 0;

    private constructor(private readonly pool: BufferPool) {}

    /** With a pool, `release` has to be called when the bytes are no longer used. */
    static create(pool = noPool): GrowingBuffer {
        return new GrowingBuffer(pool);
    }

    /** Number of bytes so far. */
    get size(): number {
        return this.length;
    }

    /** The bytes so far; not a copy. */
    get bytes(): Buffer {
        return this.buffer.subarray(0, this.length);
    }

    /** Number of bytes by which the capacity grows when this many more are added. */
    growthFor(bytes: number): number {
        return this.capacityFor(bytes) - this.buffer.length;
    }

    add(chunk: Buffer): void {
        if (this.length === 0 && chunk.length >= MinCapacity) {
            // Most bodies are one chunk.
            this.buffer = chunk;
        } else {
            this.grow(chunk.length);
            chunk.copy(this.buffer, this.length);
        }
        this.length += chunk.length;
    }

    /** Returns the buffer to the pool. `bytes` must not be used afterwards. */
    release(): void {
        if (this.isPooled) {
            this.pool.give(this.buffer);
        }
        this.isPooled = false;
        this.buffer = Buffer.alloc(0);
        this.length = 0;
    }

    private grow(bytes: number): void {
        const capacity = this.capacityFor(bytes);
        if (capacity > this.buffer.length) {
            const buffer = this.pool.take(capacity);
            this.buffer.copy(buffer, 0, 0, this.length);
            if (this.isPooled) {
                this.pool.give(this.buffer);
            }
            this.buffer = buffer;
            this.isPooled = true;
        }
    }

    private capacityFor(bytes: number): number {
        const needed = this.length + bytes;
        if (needed <= this.buffer.length) {
            return this.buffer.length;
        }
        if (this.length === 0 && bytes >= MinCapacity) {
            return bytes;
        }
        return Math.max(MinCapacity, 2 ** Math.ceil(Math.log2(needed)));
    }
}
