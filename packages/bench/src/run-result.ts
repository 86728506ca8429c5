/** Figures of one run, or means over the runs of several seeds. */
export interface RunResult {
    readonly p99Ms: number;
    readonly p999Ms: number;
    /** Processor seconds of batch work done for each second; work that an eviction lost is not counted. */
    readonly throughput: number;
    readonly evictions: number;
    /** Those of the evictions that made room for latency-critical tasks. */
    readonly urgentEvictions: number;
    readonly throttles: number;
    /** Longest time from the submission of a batch task to its first start. */
    readonly longestWaitSeconds: number;
    /** Tasks in the queues after placement, on average over the seconds of the run. */
    readonly meanQueue: number;
}
