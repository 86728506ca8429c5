import { subscribe } from "node:diagnostics_channel";
import { writeFileSync } from "node:fs";
import type { Socket } from "node:net";

/** Interval at which a process that preloads this module (`--import`) writes the byte counts of its sockets to a file. */
const WriteIntervalMs = 1_000;

const openSockets = new Set<Socket>();
const closedSocketBytes = { read: 0, written: 0 };

const trackSocket = (message: unknown): void => {
    const { socket } = message as { socket: Socket };
    openSockets.add(socket);
    socket.once("close", () => {
        openSockets.delete(socket);
        closedSocketBytes.read += socket.bytesRead;
        closedSocketBytes.written += socket.bytesWritten;
    });
};

subscribe("net.client.socket", trackSocket);
subscribe("net.server.socket", trackSocket);

const file = process.env["BYTES_FILE"];
if (file !== undefined) {
    setInterval(() => {
        const read = [...openSockets].reduce((sum, socket) => sum + socket.bytesRead, closedSocketBytes.read);
        const written = [...openSockets].reduce(
            (sum, socket) => sum + socket.bytesWritten,
            closedSocketBytes.written,
        );
        writeFileSync(file, JSON.stringify({ read, written }));
    }, WriteIntervalMs).unref();
}
