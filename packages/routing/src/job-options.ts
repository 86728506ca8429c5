import type { PoolDispatcher } from "./pool-dispatcher.js";
import type { RequestContext } from "./request-context.js";
import type { RequestHead } from "./request-head.js";
import type { RequestJob } from "./request-job.js";

/** What a request job is made from. */
export interface JobOptions {
    readonly head: RequestHead;
    readonly context: RequestContext;
    readonly dispatcher: PoolDispatcher;
    readonly onClosed: (job: RequestJob) => void;
}
