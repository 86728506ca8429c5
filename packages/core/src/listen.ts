import type { AddressInfo, Server } from "node:net";
import { parseAddress } from "./parse-address.js";

/** Starts listening on `ip:port` and returns the address with the port in use. Rejects when it cannot listen. */
export const listen = (server: Server, address: string): Promise<string> =>
    new Promise((resolve, reject) => {
        const { host, port } = parseAddress(address);
        server.once("error", reject);
        server.listen(port, host, () => {
            server.off("error", reject);
            const bound = server.address() as AddressInfo;
            resolve(
                bound.family === "IPv6"
                    ? `[${bound.address}]:${bound.port}`
                    : `${bound.address}:${bound.port}`,
            );
        });
    });
