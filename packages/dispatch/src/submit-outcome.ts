/** Outcome of a request to accept a job. */
export const SubmitOutcome = {
    /** The job is durable; an earlier request may have stored it. */
    Accepted: "accepted",
    /** The job was not stored and never will be by this request. */
    NotAccepted: "not-accepted",
    /** The store did not respond: the job may have been stored. */
    Unknown: "unknown",
    /** The job was cancelled before it was stored, and is not stored. */
    Cancelled: "cancelled",
} as const;

export type SubmitOutcome = (typeof SubmitOutcome)[keyof typeof SubmitOutcome];
