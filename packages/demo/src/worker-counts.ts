/** What the demo checks in the worker stand-ins' own counts. */
export interface WorkerCounts {
    /** Starts by `<key>#<attempt>`. */
    readonly starts: Readonly<Record<string, number>>;
    readonly concurrentDuplicates: number;
    readonly overcommitRefusals: number;
    readonly overSlotRefusals: number;
    /** Requests that ran, by their id. */
    readonly requests: Readonly<Record<string, number>>;
}
