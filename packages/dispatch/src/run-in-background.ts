import { describeError } from "@samphireward/core/describe-error";
import type { EventLog } from "./event-log.js";

/**
 * Logs the error of an operation that nobody awaits, so that it neither is lost nor ends the process, and then calls
 * `onFailure` with a reason that names the operation.
 */
export const runInBackground = (
    operation: string,
    promise: Promise<unknown>,
    log: EventLog,
    onFailure: (reason: string) => void = () => undefined,
): void => {
    promise.catch((err: unknown) => {
        log.write("background-failed", { operation, reason: describeError(err) });
        onFailure(`${operation} failed unexpectedly`);
    });
};
