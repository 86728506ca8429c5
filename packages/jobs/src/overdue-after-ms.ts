/**
 * A lasting task that has waited this long, in milliseconds, goes before short ones, which would otherwise take all freed
 * capacity.
 */
export const overdueAfterMs = 2_000;
