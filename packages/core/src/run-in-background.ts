import { createLogger } from "./create-logger.js";
import { describeError } from "./describe-error.js";

/** The part of a logger that `runInBackground` uses. */
interface FailureLog {
    error(message: string, fields: object): unknown;
}

/** For callers that have no log of their own. */
const defaultLog = createLogger("samphireward");

/** Logs the error of an operation that nobody awaits, so that it neither is lost nor ends the process. */
export const runInBackground = (
    operation: string,
    promise: Promise<unknown>,
    log: FailureLog = defaultLog,
): void => {
    promise.catch((err: unknown) =>
        log.error("background operation failed", { operation, error: describeError(err) }),
    );
};
