/** How an attempt ended on a worker; repeated by the worker until it is acknowledged. */
export interface WorkerOutcome {
    readonly key: string;
    readonly attempt: number;
    readonly result: "finished" | "failed" | "lease-lapsed";
    readonly output: string;
    readonly error?: string;
}
