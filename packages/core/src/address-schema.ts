import { isIP } from "node:net";
import * as Schema from "effect/Schema";
import { parseAddress } from "./parse-address.js";

const expectedFormat = `Expected an IP number and a port, such as "127.0.0.1:7000"`;

const isAddress = (text: string): boolean => {
    try {
        const { host, port } = parseAddress(text);
        return isIP(host) !== 0 && port <= 65535;
    } catch {
        return false;
    }
};

/** Schema of a TCP address with a literal IP address: `127.0.0.1:7000` or `[::1]:7000`. Rejects host names. */
export const AddressSchema = Schema.String.check(
    Schema.makeFilter(text => isAddress(text) || expectedFormat),
);
