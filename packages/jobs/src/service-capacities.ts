import { acceptsStarts } from "./accepts-starts.js";
import type { WorkerFleet } from "./worker-fleet.js";
import type { WorkerIncarnation } from "./worker-incarnation.js";

/** What the workers of a service have for tasks that end. */
interface ServiceCapacity {
    /** Processors that lasting tasks leave. */
    readonly processors: number;
    /** Work that is left of running tasks that end, in processor-milliseconds. */
    readonly busyMs: number;
}

/**
 * Computes the capacity of each service's workers that `counts` accepts; a run counts with the time that its estimate
 * leaves.
 */
export const serviceCapacities = (
    fleet: WorkerFleet,
    nowMs: number,
    counts: (worker: WorkerIncarnation, service: string, nowMs: number) => boolean = acceptsStarts,
): ReadonlyMap<string, ServiceCapacity> => {
    const capacities = new Map<string, { processors: number; busyMs: number }>();
    for (const worker of fleet.workers) {
        const { service, capacity } = worker.entry;
        if (!counts(worker, service, nowMs)) {
            continue;
        }
        const sum = capacities.get(service) ?? { processors: 0, busyMs: 0 };
        sum.processors += capacity.processors;
        for (const run of worker.runs.values()) {
            const { spec } = run.task.step;
            if (spec.lasting) {
                sum.processors -= run.reservation.processors;
            } else {
                const leftMs = Math.max(0, spec.estimatedMs - (nowMs - run.startedAtMs));
                sum.busyMs += leftMs * run.reservation.processors;
            }
        }
        capacities.set(service, sum);
    }
    return capacities;
};
