import { burnRateWindowsMs } from "./burn-rate-windows-ms.js";

/**
 * Multi-window rules: a rule fires when the burn rate is at least the threshold over both windows. The long
 * window shows that it matters, the short one that it still goes on. With a 30-day budget, 14.4 over 1 hour
 * uses 2% of it and 6 over 6 hours 5%. Processes keep one hour, so the second rule's long window is 1 hour.
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
