import type { Route } from "@samphireward/core/route";
import type { PoolDispatcher } from "./pool-dispatcher.js";
import type { RequestContext } from "./request-context.js";
import type { RequestJob } from "./request-job.js";

/** What a request job is made from: its checked headers and what it shares with others. */
export interface JobOptions {
    readonly context: RequestContext;
    readonly dispatcher: PoolDispatcher;
    readonly route: Route;
    readonly customer: string;
    readonly idempotencyKey: string | undefined;
    /** Time allowed for the whole answer, in milliseconds. */
    readonly allowedMs: number;
    readonly hasBody: boolean;
    readonly onClosed: (job: RequestJob) => void;
}
