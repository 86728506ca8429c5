/**
 * Outcome of a request or task operation, as reported to its caller.
 * `NotRun` is reported only when it is certain that nothing ran.
 */
export const Outcome = {
    Answered: "answered",
    NotRun: "not-run",
    MayHaveRun: "may-have-run",
    Cancelled: "cancelled",
} as const;

export type Outcome = (typeof Outcome)[keyof typeof Outcome];
