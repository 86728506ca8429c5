/** Results of one run, or their means over the runs of several seeds. */
export interface RunResult {
    readonly p99Ms: number;
    readonly p999Ms: number;
    /** Processor seconds of batch work done per second. Work lost by evictions or failed workers is not counted. */
    readonly throughput: number;
    readonly evictions: number;
    /** Evictions, included in `evictions`, that made room for latency-critical tasks. */
    readonly urgentEvictions: number;
    readonly throttles: number;
    /** Longest time from the submission of a task to its first start. */
    readonly longestWaitSeconds: number;
    /** Mean number of tasks in the queues after placement, over the seconds of the run. */
    readonly meanQueue: number;
}
