import type { IncomingMessage } from "node:http";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import type { BodyRefusal } from "./body-refusal.js";
import { BufferPool } from "./buffer-pool.js";
import { GrowingBuffer } from "./growing-buffer.js";
import { RefusalReason } from "./refusal-reason.js";
import type { ServerLimits } from "./server-limits.js";

/** A body that is being read, or whose request is not answered yet. */
interface Body {
    readonly buffer: GrowingBuffer;
    readonly startedAtMs: number;
    lastDataAtMs: number;
    readonly refuse: (refusal: BodyRefusal, reason?: RefusalReason) => void;
}

const overload: BodyRefusal = { status: 503, text: "too many bodies are being received" };
const late: BodyRefusal = { status: 408, text: "the body did not arrive in time" };
const closed: BodyRefusal = { status: 400, text: "the connection was closed before the body was complete" };

/**
 * Reads the bodies of a server's requests within its limits. When all bodies together need too much memory, the one that
 * was begun first is refused: a body of an ordinary client is complete after a few milliseconds.
 */
export class BodyCollector {
    /** Capacity of the buffers of all bodies that are not released. */
    private heldBytes = 0;
    private readonly pool: BufferPool;
    /** Bodies that are not complete, in the order in which they began. */
    private readonly unread = new Set<Body>();

    private constructor(
        private readonly limits: ServerLimits,
        private readonly onRefused: (reason: RefusalReason) => void,
    ) {
        this.pool = BufferPool.create(limits.bodyBytes);
    }

    static create(limits: ServerLimits, onRefused: (reason: RefusalReason) => void): BodyCollector {
        return new BodyCollector(limits, onRefused);
    }

    /**
     * Reads a body. `onRelease` is given a function to call when the body is no longer used; its memory counts until
     * then, and is reused afterwards.
     */
    read(
        req: IncomingMessage,
        maxBytes: number,
        onRelease: (release: () => void) => void,
    ): Promise<Result<Buffer, BodyRefusal>> {
        const tooLarge = { status: 413, text: `the body exceeds ${maxBytes} bytes` };
        if (Number(req.headers["content-length"] ?? 0) > maxBytes) {
            this.onRefused(RefusalReason.BodySize);
            return Promise.resolve(Err(tooLarge));
        }
        return new Promise(resolve => {
            const nowMs = performance.now();
            let isOpen = true;
            let countedBytes = 0;
            const release = (): void => {
                this.heldBytes -= countedBytes;
                countedBytes = 0;
                body.buffer.release();
            };
            const body: Body = {
                buffer: GrowingBuffer.create(this.pool),
                startedAtMs: nowMs,
                lastDataAtMs: nowMs,
                refuse: (refusal, reason) => {
                    if (isOpen) {
                        stop();
                        release();
                        resolve(Err(refusal));
                        if (reason !== undefined) {
                            this.onRefused(reason);
                        }
                    }
                },
            };
            const receive = (chunk: Buffer): void => {
                if (body.buffer.size + chunk.length > maxBytes) {
                    body.refuse(tooLarge, RefusalReason.BodySize);
                    return;
                }
                const growth = body.buffer.growthFor(chunk.length);
                if (growth > 0) {
                    if (!this.makeRoom(growth, body)) {
                        return;
                    }
                    this.heldBytes += growth;
                    countedBytes += growth;
                }
                body.lastDataAtMs = performance.now();
                body.buffer.add(chunk);
            };
            const end = (): void => {
                stop();
                onRelease(release);
                resolve(Ok(body.buffer.bytes));
            };
            const close = (): void => body.refuse(closed);
            const stop = (): void => {
                isOpen = false;
                this.unread.delete(body);
                req.off("data", receive);
                req.off("end", end);
                req.off("close", close);
            };
            this.unread.add(body);
            req.on("data", receive);
            req.on("end", end);
            req.on("close", close);
            req.on("error", close);
        });
    }

    /** Refuses the body that was begun first; returns whether there was one. */
    refuseOldest(reason: RefusalReason): boolean {
        const [oldest] = this.unread;
        oldest?.refuse(overload, reason);
        return oldest !== undefined;
    }

    /** Refuses the bodies whose time is over. */
    refuseLate(): void {
        const nowMs = performance.now();
        for (const body of this.unread) {
            const isIdle = nowMs - body.lastDataAtMs > this.limits.bodyIdleMs;
            if (isIdle || nowMs - body.startedAtMs > this.limits.bodyMs) {
                body.refuse(late, RefusalReason.BodyTime);
            }
        }
    }

    /** Refuses other bodies until this one may grow; if that is not enough, it is refused itself. */
    private makeRoom(growth: number, body: Body): boolean {
        while (this.heldBytes + growth > this.limits.bodyBytes) {
            if (!this.refuseOldest(RefusalReason.Bodies)) {
                return false;
            }
            if (!this.unread.has(body)) {
                return false;
            }
        }
        return true;
    }
}
