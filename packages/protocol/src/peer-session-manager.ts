import type { ClientHttp2Stream, Http2Session } from "node:http2";
import { Http2SessionManager } from "@connectrpc/connect-node";
import { observeSession } from "./observe-session.js";

const IdleTimeoutMs = 30_000;

/**
 * Session manager for the HTTP/2 connections to a peer that listens for errors until a session is closed. The base
 * class of @connectrpc/connect-node 2.1.1 removes its listener when it replaces a session. A session that is destroyed
 * with an error emits it only when its socket is closed, so that an unhandled error would end the process if a call
 * replaced the session in between.
 *
 * The base class sends no pings: with a ping interval, it also verifies a session before a call. A verification that
 * fails replaces a session that is just connecting without an error listener, and one whose connection is closed
 * without an error never ends.
 */
export class PeerSessionManager extends Http2SessionManager {
    private readonly observed = new WeakSet<Http2Session>();

    private constructor(
        address: string,
        private readonly onClosed: (reason: string) => void,
    ) {
        super(`http://${address}`, { idleConnectionTimeoutMs: IdleTimeoutMs });
    }

    /** Creates a manager for the peer at `ip:port`. `onClosed` is called once for each connection that was in use. */
    static create(address: string, onClosed: (reason: string) => void): PeerSessionManager {
        return new PeerSessionManager(address, onClosed);
    }

    override async request(...args: Parameters<Http2SessionManager["request"]>): Promise<ClientHttp2Stream> {
        const stream = await super.request(...args);
        if (stream.session !== undefined && !this.observed.has(stream.session)) {
            this.observed.add(stream.session);
            observeSession(stream.session, this.onClosed);
        }
        return stream;
    }
}
