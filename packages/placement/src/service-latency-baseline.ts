/** Share of the reports that lie below the baseline. */
const BaselineQuantile = 0.1;
/** Relative step by which each report changes the quantile estimate. */
const RelativeStep = 0.02;

/**
 * Converts the measured tail latency of a service into a slowdown. The latency without interference is not known;
 * it is approximated by the 10th percentile of all reports, which follows slow changes of the service itself.
 */
export class ServiceLatencyBaseline {
    private readonly baselines = new Map<string, number>();

    private constructor() {}

    static create(): ServiceLatencyBaseline {
        return new ServiceLatencyBaseline();
    }

    /** Updates the baseline with a report, and returns the latency relative to it, which may be below 1. */
    slowdown(service: string, p99Ms: number): number {
        const previous = this.baselines.get(service) ?? p99Ms;
        const factor =
            p99Ms < previous
                ? 1 - RelativeStep * (1 - BaselineQuantile)
                : 1 + RelativeStep * BaselineQuantile;
        const baseline = p99Ms === previous ? previous : previous * factor;
        this.baselines.set(service, baseline);
        return p99Ms / baseline;
    }
}
