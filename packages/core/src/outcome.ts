/**
 * What is known about a request or task operation once its caller is answered.
 * `NotRun` is given only with proof that nothing ran.
 */
export const Outcome = {
    Answered: "answered",
    NotRun: "not-run",
    MayHaveRun: "may-have-run",
    Cancelled: "cancelled",
} as const;

export type Outcome = (typeof Outcome)[keyof typeof Outcome];
