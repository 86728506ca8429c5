/** Good and bad requests in one window, and the rate at which they use up the error budget. */
export interface WindowBurnRate {
    readonly windowMs: number;
    /** Length of the part of the window for which there is data. */
    readonly coveredMs: number;
    readonly good: number;
    readonly bad: number;
    /** Share of bad requests divided by the share that the objective allows; `undefined` without requests. */
    readonly burnRate: number | undefined;
}
