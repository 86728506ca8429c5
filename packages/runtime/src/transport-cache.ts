import type { Transport } from "@connectrpc/connect";
import { createPeerTransport } from "@samphireward/protocol/create-peer-transport";

/** One HTTP/2 connection for each peer address, shared by all calls and streams to it. */
export class TransportCache {
    private readonly transports = new Map<string, ReturnType<typeof createPeerTransport>>();

    private constructor() {}

    static create(): TransportCache {
        return new TransportCache();
    }

    get(address: string): Transport {
        let entry = this.transports.get(address);
        if (entry === undefined) {
            entry = createPeerTransport(address);
            this.transports.set(address, entry);
        }
        return entry.transport;
    }

    /** Closes and forgets connections to addresses that are not in use any more. */
    keepOnly(addresses: ReadonlySet<string>): void {
        for (const [address, entry] of this.transports) {
            if (!addresses.has(address)) {
                entry.abort();
                this.transports.delete(address);
            }
        }
    }

    close(): void {
        this.keepOnly(new Set());
    }
}
