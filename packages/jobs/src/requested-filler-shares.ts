import type { WorkerIncarnation } from "./worker-incarnation.js";

/** Shares of a worker's processors that its fillers request, by image. */
export const requestedFillerShares = (worker: WorkerIncarnation): Map<string, number> => {
    const shares = new Map<string, number>();
    const { processors } = worker.entry.capacity;
    for (const run of worker.runs.values()) {
        const { filler, image, resources } = run.task.step.spec;
        if (filler && !run.isStopRequested) {
            shares.set(image, (shares.get(image) ?? 0) + resources.processors / processors);
        }
    }
    return shares;
};
