import { LowestCostPolicy } from "./lowest-cost-policy.js";
import type { WorkerView } from "./worker-view.js";

/** Baseline policy: chooses the worker with the lowest measured load, whatever runs on it. */
export class LoadOnlyPolicy extends LowestCostPolicy {
    override readonly name = "load-only";

    static create(): LoadOnlyPolicy {
        return new LoadOnlyPolicy();
    }

    protected override cost(worker: WorkerView): number {
        return worker.measuredLoad;
    }
}
