import type { AddressInfo, Server, Socket } from "node:net";
import { connect, createServer } from "node:net";

/** TCP proxy on loopback that can stop to forward what its clients send, without closing any connection. */
export class StallingProxy {
    private readonly server: Server;
    private readonly connections = new Map<Socket, Socket>();

    private constructor(target: string) {
        const [host, port] = target.split(":");
        this.server = createServer(client => {
            const upstream = connect(Number(port), host);
            this.connections.set(client, upstream);
            client.pipe(upstream);
            upstream.pipe(client);
            client.on("error", () => upstream.destroy());
            upstream.on("error", () => client.destroy());
        });
    }

    static create(target: string): StallingProxy {
        return new StallingProxy(target);
    }

    listen(): Promise<string> {
        return new Promise(resolve => {
            this.server.listen(0, "127.0.0.1", () => {
                resolve(`127.0.0.1:${(this.server.address() as AddressInfo).port}`);
            });
        });
    }

    /** Stops to forward from the clients of all present connections. */
    stall(): void {
        for (const [client, upstream] of this.connections) {
            client.unpipe(upstream);
        }
    }

    /** Ends the present connections to the clients as a peer that is killed does: with FIN and without GOAWAY. */
    endConnections(): void {
        for (const [client, upstream] of this.connections) {
            upstream.unpipe(client);
            client.end();
        }
    }

    /** Refuses new connections. */
    stopListening(): void {
        this.server.close();
    }

    /** Closes everything. */
    close(): void {
        this.stopListening();
        for (const [client, upstream] of this.connections) {
            client.destroy();
            upstream.destroy();
        }
    }
}
