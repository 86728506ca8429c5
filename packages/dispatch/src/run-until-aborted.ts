import { describeError } from "@samphireward/core/describe-error";
import type { EventLog } from "./event-log.js";
import { sleep } from "./sleep.js";

/** Pause before a loop that has failed is started again, in milliseconds. */
const RestartDelayMs = 500;

/**
 * Runs a loop of the process until the signal aborts. A loop that fails is logged and started again: without it the process
 * would go on with a configuration, a list of workers or owners that never change.
 */
export const runUntilAborted = async (
    operation: string,
    loop: () => Promise<void>,
    signal: AbortSignal,
    log: EventLog,
): Promise<void> => {
    while (!signal.aborted) {
        try {
            await loop();
            return;
        } catch (err) {
            log.write("background-failed", { operation, reason: describeError(err) });
            await sleep(RestartDelayMs, signal);
        }
    }
};
