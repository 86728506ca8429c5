import type { Transport } from "@connectrpc/connect";
import { createConnectTransport, Http2SessionManager } from "@connectrpc/connect-node";

/** Pings find connections that have gone silent: a peer without an answer for this time is reconnected. */
const PingIntervalMs = 2_000;
const PingTimeoutMs = 2_000;

/** Connect protocol over one HTTP/2 connection to a peer's `ip:port`. Call `abort` to close it. */
export const createPeerTransport = (address: string): { transport: Transport; abort: () => void } => {
    const baseUrl = `http://${address}`;
    const sessionManager = new Http2SessionManager(baseUrl, {
        pingIntervalMs: PingIntervalMs,
        pingTimeoutMs: PingTimeoutMs,
        pingIdleConnection: true,
    });
    const transport = createConnectTransport({
        baseUrl,
        httpVersion: "2",
        sessionManager,
        acceptCompression: [],
    });
    return { transport, abort: () => sessionManager.abort() };
};
