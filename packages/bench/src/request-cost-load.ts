import type { Socket } from "node:net";
import { connect } from "node:net";
import { LatencyRecorder } from "@samphireward/core/latency-recorder";

interface LoadPlan {
    readonly port: number;
    /** Total number of requests; each is sent once. */
    readonly count: number;
    /** Most concurrent requests if `rate` is 0; with a rate, their number is not limited. */
    readonly concurrency: number;
    /** Requests per second, sent at fixed intervals; 0 sends the next request when one is answered. */
    readonly rate: number;
    readonly bodyBytes: number;
}

interface LoadResult {
    /** Answers with status 200. */
    readonly answered: number;
    readonly refused: number;
    readonly failed: number;
    readonly durationMs: number;
    /** Encoded latencies of answers with status 200, measured from the time at which the request was due. */
    readonly latencies: string;
}

const requestText = (bodyBytes: number): string =>
    bodyBytes === 0
        ? "GET /read HTTP/1.1\r\nhost: bench\r\naccept: */*\r\nsamphireward-customer: c1\r\n\r\n"
        : `POST /read HTTP/1.1\r\nhost: bench\r\ncontent-length: ${bodyBytes}\r\n\r\n${"b".repeat(bodyBytes)}`;

/** A connection of the load generator and the state of the request on it. */
interface Connection {
    readonly socket: Socket;
    buffered: string;
    dueMs: number;
}

const isCompleteResponse = (text: string): boolean => {
    const end = text.indexOf("\r\n\r\n");
    if (end < 0) {
        return false;
    }
    const length = /content-length: (\d+)/i.exec(text)?.[1];
    return length === undefined ? text.endsWith("0\r\n\r\n") : text.length >= end + 4 + Number(length);
};

/** Sends requests over raw sockets, which keeps the cost of the load generator low, and waits for all answers. */
export const runLoad = (plan: LoadPlan): Promise<LoadResult> =>
    new Promise(resolve => {
        const text = requestText(plan.bodyBytes);
        const latencies = LatencyRecorder.create();
        const idle: Connection[] = [];
        const counts = { answered: 0, refused: 0, failed: 0, sent: 0 };
        const startMs = performance.now();
        const finish = (): void => {
            if (counts.answered + counts.refused + counts.failed === plan.count) {
                idle.forEach(connection => connection.socket.destroy());
                const durationMs = performance.now() - startMs;
                const { answered, refused, failed } = counts;
                resolve({ answered, refused, failed, durationMs, latencies: latencies.encode() });
            }
        };
        const receive = (connection: Connection, chunk: Buffer): void => {
            connection.buffered += chunk.toString("latin1");
            if (!isCompleteResponse(connection.buffered)) {
                return;
            }
            if (connection.buffered.startsWith("HTTP/1.1 200")) {
                counts.answered += 1;
                latencies.record(performance.now() - connection.dueMs);
            } else {
                counts.refused += 1;
            }
            connection.buffered = "";
            connection.dueMs = 0;
            idle.push(connection);
            if (plan.rate === 0 && counts.sent < plan.count) {
                send(performance.now());
            }
            finish();
        };
        const open = (): Connection => {
            const connection = { socket: connect(plan.port, "127.0.0.1"), buffered: "", dueMs: 0 };
            connection.socket.setNoDelay(true);
            connection.socket.on("data", chunk => receive(connection, chunk));
            connection.socket.on("error", () => undefined);
            connection.socket.on("close", () => {
                const index = idle.indexOf(connection);
                if (index >= 0) {
                    idle.splice(index, 1);
                } else if (connection.dueMs > 0) {
                    counts.failed += 1;
                    finish();
                }
            });
            return connection;
        };
        const send = (dueMs: number): void => {
            counts.sent += 1;
            const connection = idle.pop() ?? open();
            connection.dueMs = dueMs;
            connection.socket.write(text);
        };
        if (plan.rate === 0) {
            for (let index = 0; index < Math.min(plan.concurrency, plan.count); index += 1) {
                send(performance.now());
            }
            return;
        }
        const sendDue = (): void => {
            const due = Math.min(plan.count, Math.floor(((performance.now() - startMs) * plan.rate) / 1000));
            while (counts.sent < due) {
                send(startMs + (counts.sent * 1000) / plan.rate);
            }
            if (counts.sent < plan.count) {
                setTimeout(sendDue, 1);
            }
        };
        sendDue();
    });
