import type { Route } from "@samphireward/core/route";

/** The validated properties of a request that are taken from its headers. */
export interface RequestHead {
    readonly route: Route;
    readonly customer: string;
    readonly idempotencyKey: string | undefined;
    /** The route's deadline, or a shorter time if the caller requested one. */
    readonly timeoutMs: number;
    readonly hasBody: boolean;
}
