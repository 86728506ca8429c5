import { subscribe } from "node:diagnostics_channel";
import { writeFileSync } from "node:fs";
import type { Socket } from "node:net";

/** Loaded into measured processes with `--import`: writes the bytes of all their sockets to a file each second. */
const WriteEveryMs = 1_000;

const open = new Set<Socket>();
const closed = { read: 0, written: 0 };

const watch = (message: unknown): void => {
    const { socket } = message as { socket: Socket };
    open.add(socket);
    socket.once("close", () => {
        open.delete(socket);
        closed.read += socket.bytesRead;
        closed.written += socket.bytesWritten;
    });
};

subscribe("net.client.socket", watch);
subscribe("net.server.socket", watch);

const file = process.env["BYTES_FILE"];
if (file !== undefined) {
    setInterval(() => {
        const read = [...open].reduce((sum, socket) => sum + socket.bytesRead, closed.read);
        const written = [...open].reduce((sum, socket) => sum + socket.bytesWritten, closed.written);
        writeFileSync(file, JSON.stringify({ read, written }));
    }, WriteEveryMs).unref();
}
