/** Scheduling class of a pool: latency-critical work is placed before batch work and is never evicted for it. */
export const WorkClass = { LatencyCritical: "latency-critical", Batch: "batch" } as const;

export type WorkClass = (typeof WorkClass)[keyof typeof WorkClass];
