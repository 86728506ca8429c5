import { LowestCostPolicy } from "./lowest-cost-policy.js";
import type { WorkerView } from "./worker-view.js";

/** Baseline policy: chooses the worker with the smallest share of its processors reserved. */
export class LeastLoadedPolicy extends LowestCostPolicy {
    override readonly name = "least-loaded";

    static create(): LeastLoadedPolicy {
        return new LeastLoadedPolicy();
    }

    protected override cost(worker: WorkerView): number {
        return worker.reserved.processors / worker.capacity.processors;
    }
}
