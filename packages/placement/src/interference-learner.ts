import { WorkloadMixHistory } from "./workload-mix-history.js";
import type { InterferenceModel } from "./interference-model.js";
import { ServiceLatencyBaseline } from "./service-latency-baseline.js";
import type { UsageSample } from "./usage-sample.js";

/** Older reports are ignored. The longest report lag in the benchmark is 30 s. */
const MaxReportLagMs = 120_000;

/** Trains an interference model with lagged reports, each matched to the classes that ran when it was measured. */
export class InterferenceLearner {
    private readonly workloadMixes = WorkloadMixHistory.create(MaxReportLagMs);
    private readonly baselines = ServiceLatencyBaseline.create();

    private constructor(private readonly model: InterferenceModel) {}

    static create(model: InterferenceModel): InterferenceLearner {
        return new InterferenceLearner(model);
    }

    /** Must be called whenever a task starts, ends or is throttled on the worker. */
    recordWorkloadMix(worker: string, processorsByClass: ReadonlyMap<string, number>, nowMs: number): void {
        this.workloadMixes.record(worker, processorsByClass, nowMs);
    }

    removeWorker(worker: string): void {
        this.workloadMixes.removeWorker(worker);
    }

    /** Returns false, and ignores the report, if what ran at its time is not known (any more). */
    learn(sample: UsageSample): boolean {
        const processorsByClass = this.workloadMixes.at(sample.worker, sample.observedAtMs);
        if (processorsByClass === undefined) {
            return false;
        }
        const { processors, load, observedAtMs } = sample;
        for (const [name, slowdown] of sample.slowdownByClass) {
            this.model.learn(name, processorsByClass, processors, load, slowdown, observedAtMs);
        }
        for (const [name, p99Ms] of sample.p99MsByService) {
            const slowdown = this.baselines.slowdown(name, p99Ms);
            this.model.learn(name, processorsByClass, processors, load, slowdown, observedAtMs);
        }
        return true;
    }
}
