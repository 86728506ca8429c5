import { Resources } from "@samphireward/core/resources";
import type { EvictionCandidate } from "@samphireward/placement/eviction-candidate";
import type { BenchPolicy } from "./bench-policy.js";
import type { SimTask } from "./sim-task.js";
import type { SimWorker } from "./sim-worker.js";

/** How much of the service's slowdown the task causes as predicted, or its share of the processors. */
const pressureShareOf = (worker: SimWorker, task: SimTask, predictor: BenchPolicy["predictor"]): number => {
    const { capacity } = worker.view;
    const service = worker.processorsByClass.keys().next().value ?? "";
    const active = task.simClass.processors * task.processorShare;
    if (predictor === undefined) {
        return active / capacity.processors;
    }
    const slowdown = (change: number): number =>
        predictor.predict(
            service,
            worker.processorsByClass,
            task.simClass.name,
            change,
            capacity.processors,
            worker.reportedLoad,
        );
    const now = slowdown(0);
    return Math.max(0, (now - slowdown(-active)) / now);
};

/** The batch tasks of a worker as the eviction planner sees them. `lostWork` is in processor seconds. */
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
