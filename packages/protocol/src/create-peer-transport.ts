import type { Transport } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";

/** Pings detect unresponsive connections: without a response within the timeout, the connection is replaced. */
const PingIntervalMs = 2_000;
const PingTimeoutMs = 2_000;
const IdleTimeoutMs = 30_000;

/**
 * Creates a transport for the Connect protocol over one HTTP/2 connection to a peer at `ip:port`. An idle connection
 * is closed automatically and does not keep the process alive. It is never aborted: in @connectrpc/connect-node
 * 2.1.1, aborting a session that has just received GOAWAY ends the process with an unhandled error.
 */
export const createPeerTransport = (address: string): Transport =>
    createConnectTransport({
        baseUrl: `http://${address}`,
        httpVersion: "2",
        acceptCompression: [],
        pingIntervalMs: PingIntervalMs,
        pingTimeoutMs: PingTimeoutMs,
        pingIdleConnection: true,
        idleConnectionTimeoutMs: IdleTimeoutMs,
    });
