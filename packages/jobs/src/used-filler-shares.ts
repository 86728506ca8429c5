import type { WorkerIncarnation } from "./worker-incarnation.js";

const MillicoresPerCore = 1_000;

/** Shares of a worker's processors that fillers used in the last half second, by image. */
export const usedFillerShares = (worker: WorkerIncarnation): Map<string, number> => {
    const shares = new Map<string, number>();
    const { processors } = worker.entry.capacity;
    for (const run of worker.runs.values()) {
        const { filler, image } = run.task.step.spec;
        if (filler && run.gauge > 0) {
            shares.set(image, (shares.get(image) ?? 0) + run.gauge / MillicoresPerCore / processors);
        }
    }
    return shares;
};
