import { burnRateWindowsMs } from "./burn-rate-windows-ms.js";

/**
 * Multi-window burn-rate alerts: a rule fires if the burn rate reaches the threshold over both windows. The long
 * window shows that the burn is significant, the short one that it is still going on. With a 30-day error budget, a
 * rate of 14.4 over 1 hour uses 2% of the budget, and 6 over 6 hours uses 5%. Processes retain one hour of data, so
 * the second rule's long window is 1 hour.
 */
export const burnRateRules = [
    {
        name: "page",
        threshold: 14.4,
        longMs: burnRateWindowsMs.oneHour,
        shortMs: burnRateWindowsMs.fiveMinutes,
    },
    {
        name: "ticket",
        threshold: 6,
        longMs: burnRateWindowsMs.oneHour,
        shortMs: burnRateWindowsMs.thirtyMinutes,
    },
] as const;
