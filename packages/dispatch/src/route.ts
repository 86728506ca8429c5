import type { QueueRule } from "@samphireward/jobs/queue-rule";

/** A route of the operators' table: requests to `host` whose path begins with `prefix` belong to its queue. */
export interface Route {
    readonly host: string;
    readonly prefix: string;
    readonly rule: QueueRule;
}
