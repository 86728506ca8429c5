import { subscribe } from "node:diagnostics_channel";
import type { Socket } from "node:net";

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

/** Counts the bytes of the sockets of a process that preloads this module (`--import`); its parent asks for them by a message. */
process.on("message", () => {
    const read = [...openSockets].reduce((sum, socket) => sum + socket.bytesRead, closedSocketBytes.read);
    const written = [...openSockets].reduce(
        (sum, socket) => sum + socket.bytesWritten,
        closedSocketBytes.written,
    );
    process.send?.({ read, written });
});
// The channel to the parent alone does not keep the process running.
process.channel?.unref();
