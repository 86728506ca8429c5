/** Longest time for one call when `--timeout-ms` is not given. */
export const defaultTimeoutMs = 10_000;
