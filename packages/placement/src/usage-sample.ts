/** A worker's usage report as input of the interference model. */
export interface UsageSample {
    readonly worker: string;
    /** Time of the measurement: arrival of the report minus its lag. */
    readonly observedAtMs: number;
    /** Processors of the worker. */
    readonly processors: number;
    /** Share of the processors in use (0 to 1). */
    readonly load: number;
    /** Mean measured slowdown of the tasks of each class. */
    readonly slowdownByClass: ReadonlyMap<string, number>;
    /** 99th percentile of the latency of each service that answered requests, in milliseconds. */
    readonly p99MsByService: ReadonlyMap<string, number>;
}
