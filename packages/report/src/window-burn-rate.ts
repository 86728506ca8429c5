/** Good and bad requests of one window, and how fast they use up the error budget. */
export interface WindowBurnRate {
    readonly windowMs: number;
    /** Part of the window for which there is data. */
    readonly coveredMs: number;
    readonly good: number;
    readonly bad: number;
    /** Share of bad requests divided by the share that the objective allows; `undefined` without requests. */
    readonly burnRate: number | undefined;
}
