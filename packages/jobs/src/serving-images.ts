import type { Run } from "./run.js";
import type { WorkerIncarnation } from "./worker-incarnation.js";

/** Images of a worker's serving tasks, except those of the run `apartFrom` and of runs being stopped. */
export const servingImages = (worker: WorkerIncarnation, apartFrom?: Run): Set<string> => {
    const images = new Set<string>();
    for (const run of worker.runs.values()) {
        const { image, tailTargetMs } = run.task.step.spec;
        if (tailTargetMs > 0 && run !== apartFrom && !run.isStopRequested) {
            images.add(image);
        }
    }
    return images;
};
