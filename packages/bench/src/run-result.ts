/** Figures of one run, or means over the runs of several seeds. */
export interface RunResult {
    readonly p99Ms: number;
    readonly p999Ms: number;
    /** Processor seconds of batch work done for each second; work that an eviction lost is not counted. */
    readonly throughput: number;
    readonly evictions: number;
    readonly throttles: number;
    /** Tasks that waited longer than 30 s on average for each second of the run; 0 when all start at once. */
    readonly meanQueue: number;
}
