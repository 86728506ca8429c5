/** Whether a worker takes tasks: all it can hold, one at a time, or none. */
export const WorkerHealth = {
    Normal: "normal",
    Quarantined: "quarantined",
    Probation: "probation",
} as const;

export type WorkerHealth = (typeof WorkerHealth)[keyof typeof WorkerHealth];
