/** Part of the reports that lie below the baseline. */
const BaselineQuantile = 0.1;
/** Relative step of the quantile estimate for each report. */
const RelativeStep = 0.02;

/**
 * Turns the measured tail latency of a service into a slowdown. The latency of an undisturbed worker is not
 * known; the 10th percentile of all reports stands for it and follows slow changes of the service itself.
 */
export class ServiceLatencyBaseline {
    private readonly baselines = new Map<string, number>();

    private constructor() {}

    static create(): ServiceLatencyBaseline {
        return new ServiceLatencyBaseline();
    }

    /** Latency relative to the baseline, after the report has moved it; may be below 1. */
    slowdown(service: string, p99Ms: number): number {
        const old = this.baselines.get(service) ?? p99Ms;
        const factor =
            p99Ms < old ? 1 - RelativeStep * (1 - BaselineQuantile) : 1 + RelativeStep * BaselineQuantile;
        const baseline = p99Ms === old ? old : old * factor;
        this.baselines.set(service, baseline);
        return p99Ms / baseline;
    }
}
