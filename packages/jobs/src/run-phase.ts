/** What the owner knows about a run. */
export const RunPhase = {
    /** The start order has been sent and not answered yet. */
    Starting: "starting",
    /** The worker has confirmed or listed the run. */
    Running: "running",
    /** The start order got no response: the run may have started or may still start. */
    Unknown: "unknown",
} as const;

export type RunPhase = (typeof RunPhase)[keyof typeof RunPhase];
