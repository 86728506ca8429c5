/** How many tasks a worker takes: as many as fit (normal), one at a time (probation) or none (quarantined). */
export const WorkerHealth = {
    Normal: "normal",
    Quarantined: "quarantined",
    Probation: "probation",
} as const;

export type WorkerHealth = (typeof WorkerHealth)[keyof typeof WorkerHealth];
