import { isIP } from "node:net";
import * as Schema from "effect/Schema";

const isAddress = (text: string): boolean => {
    const match = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/.exec(text);
    const host = match?.[1] ?? match?.[2];
    const port = Number(match?.[3]);
    return host !== undefined && isIP(host) !== 0 && port >= 1 && port <= 65535;
};

/** Schema of a TCP address by IP number: `127.0.0.1:7000` or `[::1]:7000`. Host names are not accepted. */
export const AddressSchema = Schema.String.check(
    Schema.makeFilter(
        text => isAddress(text) || `Expected an IP number and a port, such as "127.0.0.1:7000"`,
    ),
);
