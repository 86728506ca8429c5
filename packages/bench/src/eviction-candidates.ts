import { Resources } from "@samphireward/core/resources";
import type { EvictionCandidate } from "@samphireward/placement/eviction-candidate";
import type { BenchPolicy } from "./bench-policy.js";
import type { SimTask } from "./sim-task.js";
import type { SimWorker } from "./sim-worker.js";

/** Predicted part of the service's slowdown that the task causes; without a predictor, its share of the processors. */
const pressureShareOf = (worker: SimWorker, task: SimTask, predictor: BenchPolicy["predictor"]): number => {
    const { capacity } = worker.view;
    const service = worker.processorsByClass.keys().next().value ?? "";
    const activeProcessors = task.simClass.processors * task.processorShare;
    if (predictor === undefined) {
        return activeProcessors / capacity.processors;
    }
    const slowdown = (addedProcessors: number): number =>
        predictor.predict(
            service,
            worker.processorsByClass,
            task.simClass.name,
            addedProcessors,
            capacity.processors,
            worker.reportedLoad,
        );
    const current = slowdown(0);
    return Math.max(0, (current - slowdown(-activeProcessors)) / current);
};

/** The batch tasks of a worker as input of the eviction planner. */
export const evictionCandidates = (
    worker: SimWorker,
    predictor: BenchPolicy["predictor"],
): EvictionCandidate[] =>
    [...worker.tasks]
        .filter(({ simClass }) => simClass.kind === "batch")
        .map(task => ({
            key: task.key,
            resources: Resources.create(task.simClass),
            lostProcessorSeconds: (task.doneSeconds - task.checkpointSeconds) * task.simClass.processors,
            pressureShare: pressureShareOf(worker, task, predictor),
            processorShare: task.processorShare,
        }));
