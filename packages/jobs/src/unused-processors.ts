import type { Run } from "./run.js";
import type { WorkerIncarnation } from "./worker-incarnation.js";

/** Share of its request that placement keeps for a serving task, more than its mean; fillers may use the rest. */
const ServingUseRatio = 0.5;

/** Share of its processor request that a run is expected to use. */
const expectedUseRatio = (run: Run): number => (run.task.step.spec.tailTargetMs > 0 ? ServingUseRatio : 1);

/** Expected use by worker, valid while the worker's version is unchanged. */
const expectedUseCache = new WeakMap<WorkerIncarnation, { readonly version: number; readonly use: number }>();

/** Number of processors that the runs of a worker are expected to use. */
const expectedProcessorUse = (worker: WorkerIncarnation): number => {
    const cached = expectedUseCache.get(worker);
    if (cached?.version === worker.version) {
        return cached.use;
    }
    let use = 0;
    for (const run of worker.runs.values()) {
        use += run.task.step.spec.resources.processors * expectedUseRatio(run);
    }
    expectedUseCache.set(worker, { version: worker.version, use });
    return use;
};

/** Number of processors of a worker that its runs are not expected to use. */
export const unusedProcessors = (worker: WorkerIncarnation): number =>
    worker.entry.capacity.processors - expectedProcessorUse(worker);
