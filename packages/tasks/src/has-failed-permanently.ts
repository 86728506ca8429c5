/** A task that has failed on this many different workers ends as failed. */
const MaxFailedWorkers = 3;

/**
 * Limit on failed attempts for cells with fewer than three suitable workers, where a task fails on the same
 * ones again.
 */
const MaxFailures = 6;

/** Whether a task with these failed attempts (the worker of each) ends as failed. */
export const hasFailedPermanently = (failures: readonly string[]): boolean =>
    new Set(failures).size >= MaxFailedWorkers || failures.length >= MaxFailures;
