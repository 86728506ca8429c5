/** An operator's command for one worker (`POST /v1/workers/<name>/<command>`). */
export const WorkerCommand = {
    Drain: "drain",
    Undrain: "undrain",
    Quarantine: "quarantine",
    Release: "release",
} as const;

export type WorkerCommand = (typeof WorkerCommand)[keyof typeof WorkerCommand];
