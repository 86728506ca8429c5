import { acceptsStarts } from "./accepts-starts.js";
import type { WorkerIncarnation } from "./worker-incarnation.js";

/**
 * Whether tasks may be started on a worker now, or soon again: one that has not answered for a moment but has a lease is
 * more often cut off for a short time than lost.
 */
export const mayAcceptStartsSoon = (worker: WorkerIncarnation, service: string, nowMs: number): boolean => {
    const { entry, isEvacuated, leaseEndsAtMs } = worker;
    const mayReturn =
        entry.service === service && !entry.isDraining && !isEvacuated && nowMs <= leaseEndsAtMs;
    return mayReturn || acceptsStarts(worker, service);
};
