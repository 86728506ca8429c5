import { HeaderName } from "./header-name.js";

/** Headers that belong to one connection (RFC 9110, 7.6.1), and those that each side of the proxy sets anew. */
const hopByHopHeaders: ReadonlySet<string> = new Set([
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    HeaderName.Code,
    HeaderName.DeadlineMs,
    HeaderName.NotRun,
    HeaderName.Leaving,
]);

/** Header names seen so far and whether they are passed on; bounded, because callers choose the names. */
const isForwardedByName = new Map<string, boolean>();
const MaxCachedNames = 500;

const isForwarded = (name: string): boolean => {
    const answer = isForwardedByName.get(name);
    if (answer !== undefined) {
        return answer;
    }
    const passes = !hopByHopHeaders.has(name.toLowerCase());
    if (isForwardedByName.size < MaxCachedNames) {
        isForwardedByName.set(name, passes);
    }
    return passes;
};

/**
 * The headers that a proxy passes on, as a flat list of names and values in their order. `connection` is the
 * value of that header, which may name further headers of the connection.
 */
export const endToEndHeaders = (rawHeaders: readonly string[], connection: string | undefined): string[] => {
    const isSimple = connection === undefined || connection === "keep-alive" || connection === "close";
    const named = isSimple
        ? undefined
        : new Set(connection.split(",").map(name => name.trim().toLowerCase()));
    const headers: string[] = [];
    for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
        const name = rawHeaders[index] ?? "";
        if (isForwarded(name) && named?.has(name.toLowerCase()) !== true) {
            headers.push(name, rawHeaders[index + 1] ?? "");
        }
    }
    return headers;
};
