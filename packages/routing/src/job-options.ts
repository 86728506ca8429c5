import type { PoolDispatcher } from "./pool-dispatcher.js";
import type { RequestContext } from "./request-context.js";
import type { RequestHead } from "./request-head.js";

/** Dependencies of a request job and its components. */
export interface JobOptions {
    readonly head: RequestHead;
    readonly context: RequestContext;
    readonly dispatcher: PoolDispatcher;
}
