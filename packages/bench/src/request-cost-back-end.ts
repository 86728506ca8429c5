import type { Socket } from "node:net";
import { createServer } from "node:net";

const refusal = "HTTP/1.1 503 Service Unavailable\r\nsamphireward-not-run: 1\r\ncontent-length: 0\r\n\r\n";

interface BackEndOptions {
    readonly slots: number;
    /** Time for which each request holds a slot; 0 answers at once. */
    readonly serviceMs: number;
    readonly answerBytes: number;
}

/** Starts a low-cost back end, which only looks for the end of each request and writes a fixed answer. */
export const startBackEnd = ({ slots, serviceMs, answerBytes }: BackEndOptions): Promise<number> => {
    const body = "a".repeat(answerBytes);
    const answer = `HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: ${answerBytes}\r\n\r\n${body}`;
    let running = 0;
    const serve = (socket: Socket): void => {
        if (serviceMs === 0) {
            socket.write(answer);
            return;
        }
        if (running >= slots) {
            socket.write(refusal);
            return;
        }
        running += 1;
        setTimeout(() => {
            running -= 1;
            socket.write(answer);
        }, serviceMs);
    };
    const server = createServer(socket => {
        socket.setNoDelay(true);
        socket.on("error", () => undefined);
        let buffered = "";
        socket.on("data", (chunk: Buffer) => {
            buffered += chunk.toString("latin1");
            const end = buffered.indexOf("\r\n\r\n");
            const length = /content-length: (\d+)/i.exec(buffered)?.[1] ?? "0";
            if (end >= 0 && buffered.length >= end + 4 + Number(length)) {
                buffered = "";
                serve(socket);
            }
        });
    });
    return new Promise(resolve => {
        server.listen(0, "127.0.0.1", () => resolve((server.address() as { port: number }).port));
    });
};
