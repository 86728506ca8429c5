import type { Route } from "@samphireward/core/route";

/** What the headers of a request say, checked. */
export interface RequestHead {
    readonly route: Route;
    readonly customer: string;
    readonly idempotencyKey: string | undefined;
    /** Time allowed in milliseconds: the route's deadline, or less if the caller asks for less. */
    readonly timeoutMs: number;
    readonly hasBody: boolean;
}
