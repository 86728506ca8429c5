import { subscribe, unsubscribe } from "node:diagnostics_channel";
import type { Socket } from "node:net";

/** Returns a list to which each socket that this process opens as a client is added until the test ends. */
export const collectClientSockets = (t: { after: (run: () => void) => void }): readonly Socket[] => {
    const sockets: Socket[] = [];
    const onSocket = (message: unknown): void => {
        sockets.push((message as { socket: Socket }).socket);
    };
    subscribe("net.client.socket", onSocket);
    t.after(() => unsubscribe("net.client.socket", onSocket));
    return sockets;
};
