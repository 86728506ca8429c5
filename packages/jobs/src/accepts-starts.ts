import type { WorkerIncarnation } from "./worker-incarnation.js";

/** Whether tasks of a service may be started on a worker at all. */
export const acceptsStarts = (worker: WorkerIncarnation, service: string): boolean => {
    const { entry } = worker;
    return (
        entry.service === service &&
        !entry.isDraining &&
        !worker.isEvacuated &&
        worker.isRegistered &&
        worker.isReachable &&
        worker.hasListedRuns &&
        worker.mayExtendLease &&
        !worker.isStartBlocked
    );
};
