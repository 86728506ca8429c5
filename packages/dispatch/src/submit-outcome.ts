/** Outcome of a request to accept a job. */
export const SubmitOutcome = {
    /** The job is durable; an earlier request may have stored it. */
    Accepted: "accepted",
    /** The job was not stored and never will be by this request. */
    NotAccepted: "not-accepted",
    /** The store did not respond: the job may have been stored. */
    Unknown: "unknown",
} as const;

export type SubmitOutcome = (typeof SubmitOutcome)[keyof typeof SubmitOutcome];
