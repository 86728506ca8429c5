import { HeaderName } from "./header-name.js";

/** Headers of a single connection (RFC 9110, section 7.6.1), and those that the proxy sets itself on each side. */
const nonForwardedHeaders: ReadonlySet<string> = new Set([
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

/** Caches whether a header name is forwarded. Bounded, because callers choose the names. */
const isForwardedByName = new Map<string, boolean>();
const MaxCachedNames = 500;

const isForwarded = (name: string): boolean => {
    const cached = isForwardedByName.get(name);
    if (cached !== undefined) {
        return cached;
    }
    const isEndToEnd = !nonForwardedHeaders.has(name.toLowerCase());
    if (isForwardedByName.size < MaxCachedNames) {
        isForwardedByName.set(name, isEndToEnd);
    }
    return isEndToEnd;
};

/**
 * Returns the headers that a proxy forwards, as a flat list of names and values in their original order.
 * `connection` is the value of that header, which may name further hop-by-hop headers.
 */
export const endToEndHeaders = (rawHeaders: readonly string[], connection: string | undefined): string[] => {
    const isSimple = connection === undefined || connection === "keep-alive" || connection === "close";
    const connectionHeaders = isSimple
        ? undefined
        : new Set(connection.split(",").map(name => name.trim().toLowerCase()));
    const headers: string[] = [];
    for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
        const name = rawHeaders[index] ?? "";
        if (isForwarded(name) && connectionHeaders?.has(name.toLowerCase()) !== true) {
            headers.push(name, rawHeaders[index + 1] ?? "");
        }
    }
    return headers;
};
