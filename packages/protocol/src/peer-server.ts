import type { Http2Server, ServerHttp2Session } from "node:http2";
import { createServer } from "node:http2";
import type { ConnectRouter } from "@connectrpc/connect";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import { listen } from "@samphireward/core/listen";

/** Server for the peers of a process: Connect services over HTTP/2 without TLS. */
export class PeerServer {
    private readonly sessions = new Set<ServerHttp2Session>();

    private constructor(private readonly server: Http2Server) {
        server.on("session", session => {
            this.sessions.add(session);
            session.on("close", () => this.sessions.delete(session));
            // The connection of a terminated peer is reset. Its streams then end without further action.
            session.on("error", () => undefined);
        });
    }

    static create(routes: (router: ConnectRouter) => void): PeerServer {
        return new PeerServer(createServer(connectNodeAdapter({ routes, acceptCompression: [] })));
    }

    /** Listens on `ip:port` and returns the address in use. */
    listen(address: string): Promise<string> {
        return listen(this.server, address);
    }

    /** Stops listening and closes all connections. Streams must be ended before the call. */
    close(): Promise<void> {
        return new Promise(resolve => {
            this.server.close(() => resolve());
            for (const session of this.sessions) {
                session.destroy();
            }
        });
    }
}
