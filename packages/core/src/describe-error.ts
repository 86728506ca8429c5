/** Describes a caught value for a log: the stack of an error, and any other value as text. */
export const describeError = (err: unknown): string =>
    err instanceof Error ? (err.stack ?? err.message) : String(err);
