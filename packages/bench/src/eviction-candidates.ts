import { Resources } from "@samphireward/core/resources";
import type { EvictionCandidate } from "@samphireward/placement/eviction-candidate";
import type { BenchPolicy } from "./bench-policy.js";
import type { SimTask } from "./sim-task.js";
import type { SimWorker } from "./sim-worker.js";

/** How much of the service's slowdown the task causes as predicted, or its share of the processors. */
const harmOf = (worker: SimWorker, task: SimTask, predictor: BenchPolicy["predictor"]): number => {
    const { capacity } = worker.view;
    const service = worker.classes.keys().next().value ?? "";
    const active = task.simClass.processors * task.share;
    if (predictor === undefined) {
        return active / capacity.processors;
    }
    const slowdown = (change: number): number =>
        predictor.predict(
            service,
            worker.classes,
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
            lostWork: (task.doneSeconds - task.checkpointSeconds) * task.simClass.processors,
            harm: harmOf(worker, task, predictor),
            share: task.share,
        }));
