import type { Server } from "node:net";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";

const bind = (): Promise<Server> =>
    new Promise((resolve, reject) => {
        const server = createServer();
        server.once("error", reject);
        server.listen(0, "127.0.0.1", () => resolve(server));
    });

const release = (server: Server): Promise<void> => new Promise(resolve => server.close(() => resolve()));

/** Loopback addresses with ports that are free now. All are held until every one is chosen, so that none repeats. */
export const freeAddresses = async (count: number): Promise<string[]> => {
    const servers = await Promise.all(Array.from({ length: count }, bind));
    const addresses = servers.map(server => `127.0.0.1:${(server.address() as AddressInfo).port}`);
    await Promise.all(servers.map(release));
    return addresses;
};
