import { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import type { ReadTurns } from "./read-turns.js";

/**
 * Class of the requests of a server whose connections take turns. The HTTP parser stops at a request if `isRefused` is true
 * of its connection: Node.js reads `upgrade` before it keeps a request. If it is true, the rest of the bytes that were read
 * is not parsed, and the server emits "upgrade". Otherwise, the parser completes up to 64 KB of requests even after their
 * connection is closed.
 */
export const createRequestClass = (
    isRefused: (socket: Socket) => boolean,
    turns: ReadTurns,
): typeof IncomingMessage =>
    // eslint-disable-next-line samphireward/private-constructor -- the HTTP server calls the constructor
    class extends IncomingMessage {
        private isStopped: boolean | undefined;

        /** Decided at the first reading: Node.js reads it again when later requests have been counted. */
        get upgrade(): boolean {
            // Without a listener for "connect", Node.js closes the connection of such a request.
            this.isStopped ??= this.method === "CONNECT" || isRefused(this.socket);
            return this.isStopped;
        }

        /** Ignores the header of the client; its request is handled like others. */
        set upgrade(_requested: boolean) {}

        /** Called by the HTTP parser with each chunk of the body, and with null at its end. */
        override push(chunk: unknown, encoding?: BufferEncoding): boolean {
            if (chunk !== null) {
                turns.countChunk(this.socket);
            }
            return super.push(chunk, encoding);
        }

        /** Node.js resumes the connection here. */
        override _read(size: number): void {
            if (!turns.isWaiting(this.socket)) {
                super._read(size);
            }
        }
    };
