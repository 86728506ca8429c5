/** How a run ended on its worker. */
export const EndKind = {
    Done: "done",
    /** Through the task's own fault or the worker's. */
    Failed: "failed",
    Stopped: "stopped",
    /** The worker's lease ran out. */
    Lapsed: "lapsed",
    /** Another member of the gang ended. */
    GangBroken: "broken",
    /** The other members of the gang did not arrive in time. */
    GangIncomplete: "alone",
} as const;

export type EndKind = (typeof EndKind)[keyof typeof EndKind];
