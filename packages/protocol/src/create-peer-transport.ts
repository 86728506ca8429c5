import type { Transport } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import { PeerSessionManager } from "./peer-session-manager.js";

/** Transport over one connection to a peer. */
interface PeerTransport extends Transport {
    /** Closes the connection; calls and streams that are in progress fail. */
    close(): void;
}

/**
 * Creates a transport for the Connect protocol over one HTTP/2 connection to a peer at `ip:port`. An idle connection
 * is closed automatically and does not keep the process alive. `onClosed` is called with the reason whenever a
 * connection is closed; the next call opens a new one.
 */
export const createPeerTransport = (address: string, onClosed: (reason: string) => void): PeerTransport => {
    const sessionManager = PeerSessionManager.create(address, onClosed);
    const transport = createConnectTransport({
        baseUrl: `http://${address}`,
        httpVersion: "2",
        acceptCompression: [],
        sessionManager,
    });
    return { ...transport, close: () => sessionManager.abort() };
};
