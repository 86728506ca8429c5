/** What an operator or the quarantine allows on a worker. Survives a change of owner. */
export const WorkerMode = {
    Open: "open",
    /** No new tasks; running ones are checkpointed and moved. */
    Drained: "drained",
    /** No new tasks; running ones continue. */
    Quarantined: "quarantined",
} as const;

export type WorkerMode = (typeof WorkerMode)[keyof typeof WorkerMode];
