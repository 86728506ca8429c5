import { createPeerTransport } from "@samphireward/protocol/create-peer-transport";

/** Keeps one HTTP/2 connection per peer address, shared by all calls and streams to it. */
export class TransportCache {
    private readonly transports = new Map<string, ReturnType<typeof createPeerTransport>>();

    private constructor(private readonly onClosed: (address: string, reason: string) => void) {}

    /** `onClosed` is called for each connection to a peer that is closed, by either side. */
    static create(onClosed: (address: string, reason: string) => void): TransportCache {
        return new TransportCache(onClosed);
    }

    get(address: string): ReturnType<typeof createPeerTransport> {
        let transport = this.transports.get(address);
        if (transport === undefined) {
            transport = createPeerTransport(address, reason => this.onClosed(address, reason));
            this.transports.set(address, transport);
        }
        return transport;
    }

    /** Drops the connections to all other addresses; they close when they are idle. */
    retainOnly(addresses: ReadonlySet<string>): void {
        for (const address of this.transports.keys()) {
            if (!addresses.has(address)) {
                this.transports.delete(address);
            }
        }
    }

    /** Closes all connections; what is in progress on them fails. A later call opens a connection again. */
    close(): void {
        for (const transport of this.transports.values()) {
            transport.close();
        }
    }
}
