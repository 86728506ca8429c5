/** Counts of a stand-in worker that the demo checks. */
export interface WorkerCounts {
    /** Number of starts, by `<key>#<attempt>`. */
    readonly starts: Readonly<Record<string, number>>;
    readonly concurrentDuplicates: number;
    readonly overcommitRefusals: number;
    readonly overSlotRefusals: number;
    /** Number of times that a request ran, by its id. */
    readonly requests: Readonly<Record<string, number>>;
}
