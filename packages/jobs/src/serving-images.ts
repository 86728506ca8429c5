import type { Run } from "./run.js";
import type { WorkerIncarnation } from "./worker-incarnation.js";

/** Images of the serving tasks of a worker, apart from one that is to leave and those that are being stopped. */
export const servingImages = (life: WorkerIncarnation, apartFrom?: Run): Set<string> => {
    const images = new Set<string>();
    for (const run of life.runs.values()) {
        const { image, tailTargetMs } = run.task.step.spec;
        if (tailTargetMs > 0 && run !== apartFrom && !run.isStopRequested) {
            images.add(image);
        }
    }
    return images;
};
