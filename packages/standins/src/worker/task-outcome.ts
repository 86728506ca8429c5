/** How an attempt ended; the stand-in reports it until it is acknowledged. */
export interface TaskOutcome {
    readonly key: string;
    readonly attempt: number;
    readonly result: "finished" | "failed" | "lease-lapsed";
    readonly output: string;
    readonly error?: string;
}
