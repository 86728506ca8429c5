import type { WorkerIncarnation } from "./worker-incarnation.js";

const MillicoresPerCore = 1_000;

/** Shares of a worker's processors that fillers used in the last half second, by image. */
export const usedFillerShares = (life: WorkerIncarnation): Map<string, number> => {
    const shares = new Map<string, number>();
    const { processors } = life.entry.capacity;
    for (const run of life.runs.values()) {
        const { filler, image } = run.task.step.spec;
        if (filler && run.gauge > 0) {
            shares.set(image, (shares.get(image) ?? 0) + run.gauge / MillicoresPerCore / processors);
        }
    }
    return shares;
};
