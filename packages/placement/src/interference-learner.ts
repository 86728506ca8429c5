import { WorkloadMixHistory } from "./workload-mix-history.js";
import type { InterferenceModel } from "./interference-model.js";
import { ServiceLatencyBaseline } from "./service-latency-baseline.js";
import type { UsageSample } from "./usage-sample.js";

/** Longest lag of a report that is attributed; the longest lag in the benchmark is 30 s. */
const MaxReportLagMs = 120_000;

/** Teaches an interference model from lagged reports, each attributed to what ran at the time it describes. */
export class InterferenceLearner {
    private readonly history = WorkloadMixHistory.create(MaxReportLagMs);
    private readonly baseline = ServiceLatencyBaseline.create();

    private constructor(private readonly model: InterferenceModel) {}

    static create(model: InterferenceModel): InterferenceLearner {
        return new InterferenceLearner(model);
    }

    /** To be called whenever a task starts, ends or is throttled on the worker. */
    recordWorkloadMix(worker: string, classes: ReadonlyMap<string, number>, nowMs: number): void {
        this.history.record(worker, classes, nowMs);
    }

    removeWorker(worker: string): void {
        this.history.removeWorker(worker);
    }

    /** Returns false when the report is too old to be attributed; then nothing is learned. */
    learn(sample: UsageSample): boolean {
        const classes = this.history.at(sample.worker, sample.observedAtMs);
        if (classes === undefined) {
            return false;
        }
        const { processors, load, observedAtMs: observedMs } = sample;
        for (const [name, slowdown] of sample.slowdownByClass) {
            this.model.learn(name, classes, processors, load, slowdown, observedMs);
        }
        for (const [name, p99Ms] of sample.p99MsByService) {
            const slowdown = this.baseline.slowdown(name, p99Ms);
            this.model.learn(name, classes, processors, load, slowdown, observedMs);
        }
        return true;
    }
}
