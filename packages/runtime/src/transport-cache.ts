import type { Transport } from "@connectrpc/connect";
import { createPeerTransport } from "@samphireward/protocol/create-peer-transport";

/** One HTTP/2 connection for each peer address, shared by all calls and streams to it. */
export class TransportCache {
    private readonly transports = new Map<string, Transport>();

    private constructor() {}

    static create(): TransportCache {
        return new TransportCache();
    }

    get(address: string): Transport {
        let transport = this.transports.get(address);
        if (transport === undefined) {
            transport = createPeerTransport(address);
            this.transports.set(address, transport);
        }
        return transport;
    }

    /** Forgets connections to addresses that are not in use any more; they close once they are idle. */
    keepOnly(addresses: ReadonlySet<string>): void {
        for (const address of this.transports.keys()) {
            if (!addresses.has(address)) {
                this.transports.delete(address);
            }
        }
    }
}
