/** Names of the orders in which the tasks of a cell start. */
export const StartOrderName = {
    /** Queue priority, then the latest start for a result in time. */
    Deadline: "deadline",
    /** Queue priority, then the jobs whose results are worth most for the work they need. */
    Worth: "worth",
} as const;

export type StartOrderName = (typeof StartOrderName)[keyof typeof StartOrderName];
