/** Why an owner does not take up a stored job; label of a metric. */
export const SetAsideReason = {
    /** The job or its progress has another form, or is stored under another id. */
    Unreadable: "unreadable",
    /** It exceeds the limits for jobs. */
    Limits: "limits",
} as const;
export type SetAsideReason = (typeof SetAsideReason)[keyof typeof SetAsideReason];
