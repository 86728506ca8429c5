import type { Socket } from "node:net";

/**
 * Chunks of bodies after which a connection waits for its turn. A body in chunks of ordinary size seldom has as many, and
 * then waits for one turn of the event loop.
 */
const ChunksPerTurn = 1_024;

/**
 * Lets connections that send bodies in very many small chunks take turns: one of them is read in each turn of the event
 * loop. Other requests then wait for the chunks of one connection and not of all.
 */
export class ReadTurns {
    private readonly chunkCounts = new WeakMap<Socket, number>();
    private readonly waiting = new Set<Socket>();

    private constructor() {}

    static create(): ReadTurns {
        return new ReadTurns();
    }

    /** Whether the connection is not read until its turn comes. */
    isWaiting(socket: Socket): boolean {
        return this.waiting.has(socket);
    }

    /** Counts a chunk, and stops reading from the connection if it has used up its turn. */
    countChunk(socket: Socket): void {
        const chunks = (this.chunkCounts.get(socket) ?? 0) + 1;
        this.chunkCounts.set(socket, chunks);
        if (chunks === ChunksPerTurn) {
            socket.pause();
            this.waiting.add(socket);
            if (this.waiting.size === 1) {
                this.scheduleTurn();
            }
        }
    }

    private scheduleTurn(): void {
        setImmediate(() => {
            const [socket] = this.waiting;
            if (socket !== undefined) {
                this.waiting.delete(socket);
                this.chunkCounts.delete(socket);
                socket.resume();
            }
            if (this.waiting.size > 0) {
                this.scheduleTurn();
            }
        });
    }
}
