import type { WorkerIncarnation } from "./worker-incarnation.js";

/** Shares of a worker's processors that its fillers ask for, by image. */
export const requestedFillerShares = (life: WorkerIncarnation): Map<string, number> => {
    const shares = new Map<string, number>();
    const { processors } = life.entry.capacity;
    for (const run of life.runs.values()) {
        const { filler, image, resources } = run.task.step.spec;
        if (filler && !run.isStopRequested) {
            shares.set(image, (shares.get(image) ?? 0) + resources.processors / processors);
        }
    }
    return shares;
};
