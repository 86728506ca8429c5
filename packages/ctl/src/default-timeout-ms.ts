/** Timeout of a single request if `--timeout-ms` is not given. */
export const defaultTimeoutMs = 10_000;
