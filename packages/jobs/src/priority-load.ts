import type { StartRule } from "./start-rule.js";

/** What waits and what is late in the queues of one priority. */
export interface PriorityLoad {
    readonly priority: number;
    /** Tasks that end and are ready without a worker, by the rule that gave them their place; `deadline` in that order. */
    readonly waiting: ReadonlyMap<StartRule | "deadline", number>;
    /** Open jobs whose target time has passed. */
    readonly lateJobs: number;
}
