/** How a run ended on its worker. */
export const EndKind = {
    Done: "done",
    /** The task or its worker failed. */
    Failed: "failed",
    Stopped: "stopped",
    /** The worker's lease expired. */
    Lapsed: "lapsed",
    /** Another member of the gang ended. */
    GangBroken: "broken",
    /** The other members of the gang did not arrive in time. */
    GangIncomplete: "alone",
} as const;

export type EndKind = (typeof EndKind)[keyof typeof EndKind];
