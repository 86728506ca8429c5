/** Restriction of a worker by an operator or the quarantine. Durable, so it survives a change of owner. */
export const WorkerMode = {
    Open: "open",
    /** No new tasks; running ones are checkpointed and moved. */
    Drained: "drained",
    /** No new tasks; running ones continue. */
    Quarantined: "quarantined",
} as const;

export type WorkerMode = (typeof WorkerMode)[keyof typeof WorkerMode];
