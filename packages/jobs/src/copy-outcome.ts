/** What became of a speculative copy; each copy that was started or found has exactly one of the others in the end. */
export const CopyOutcome = {
    /** Its start was ordered, or a new owner found it beside its original. */
    Started: "started",
    /** It ended as done before its original. */
    Won: "won",
    /** It was stopped, or ended as done after its original. */
    Stopped: "stopped",
    /** It ended as failed, which counts as an attempt of its task. */
    Failed: "failed",
    /** It was lost with its worker. */
    Lapsed: "lapsed",
    /** Its start was refused, or was stopped without having been confirmed. */
    Withdrawn: "withdrawn",
} as const;

export type CopyOutcome = (typeof CopyOutcome)[keyof typeof CopyOutcome];
