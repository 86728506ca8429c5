import type { Transport } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import { PeerSessionManager } from "./peer-session-manager.js";

/**
 * Creates a transport for the Connect protocol over one HTTP/2 connection to a peer at `ip:port`. An idle connection
 * is closed automatically and does not keep the process alive. `onClosed` is called with the reason whenever a
 * connection is closed; the next call opens a new one.
 */
export const createPeerTransport = (address: string, onClosed: (reason: string) => void): Transport =>
    createConnectTransport({
        baseUrl: `http://${address}`,
        httpVersion: "2",
        acceptCompression: [],
        sessionManager: PeerSessionManager.create(address, onClosed),
    });
