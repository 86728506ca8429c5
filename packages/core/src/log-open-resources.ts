import type { ProcessLogger } from "./process-logger.js";

/** Time after which a process that has stopped has no connection or timer left. */
const EndTimeoutMs = 5_000;

/** Counts names, most frequent first. */
const countNames = (names: readonly string[]): Record<string, number> => {
    const counts = new Map<string, number>();
    names.forEach(name => counts.set(name, (counts.get(name) ?? 0) + 1));
    return Object.fromEntries([...counts].sort(([, a], [, b]) => b - a));
};

/** Logs what keeps a process running that has stopped and does not end. The check itself does not keep it running. */
export const logOpenResources = (log: ProcessLogger): void => {
    setInterval(() => {
        log.warn("the process has stopped and does not end", {
            open: countNames(process.getActiveResourcesInfo()),
        });
    }, EndTimeoutMs).unref();
};
