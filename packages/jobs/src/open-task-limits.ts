/**
 * Bounds on the tasks that an owner keeps in memory. An open task takes about 0.5 KB (docs/CAPACITY.md); the deployed
 * process has a heap of 160 MB, in which it may own several cells.
 */
export const openTaskLimits = {
    /**
     * Most tasks of one job at one time, and so of one run through its steps. The operators' largest jobs have about
     * 5,000. The progress of as many tasks fits into one value of the store.
     */
    perJob: 10_240,
    /** Most tasks of an owner, apart from the first occurrence that each queue may open in any case. */
    perOwner: 50_000,
    /** Most tasks of an owner that jobs may open beside tasks that no worker could run. */
    perOwnerWithUnrunnable: 75_000,
} as const;
