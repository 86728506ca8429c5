/** A run in a worker's listing. */
export interface ListedRun {
    readonly task: string;
    readonly number: number;
    readonly checkpoint: string;
    /** Progress, 0 to 100; 100 for a lasting task that is available. */
    readonly progressPercent: number;
    /** For a serving task its tail latency in milliseconds, otherwise its processor use in thousandths. */
    readonly gauge: number;
}
