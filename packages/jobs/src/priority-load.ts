import type { StartRule } from "./start-rule.js";

/** Waiting tasks and late jobs in the queues of one priority. */
export interface PriorityLoad {
    readonly priority: number;
    /**
     * Tasks of open steps without a worker, other than lasting ones, by the rule that placed their step; all are under
     * `deadline` if the cell starts tasks by deadline.
     */
    readonly waiting: ReadonlyMap<StartRule | "deadline", number>;
    /** Open jobs whose target time has passed. */
    readonly lateJobs: number;
}
