import { isIP } from "node:net";
import * as Schema from "effect/Schema";
import { parseAddress } from "./parse-address.js";

const expected = `Expected an IP number and a port, such as "127.0.0.1:7000"`;

const isAddress = (text: string): boolean => {
    try {
        const { host, port } = parseAddress(text);
        return isIP(host) !== 0 && port <= 65535;
    } catch {
        return false;
    }
};

/** Schema of a TCP address by IP number: `127.0.0.1:7000` or `[::1]:7000`. Host names are not accepted. */
export const AddressSchema = Schema.String.check(Schema.makeFilter(text => isAddress(text) || expected));
