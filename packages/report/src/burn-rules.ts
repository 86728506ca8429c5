import { burnWindows } from "./burn-windows.js";

/**
 * Multi-window rules: a rule fires when the burn rate is at least the threshold over both windows. The long
 * window shows that it matters, the short one that it still goes on. With a 30-day budget, 14.4 over 1 hour
 * uses 2% of it and 6 over 6 hours 5%. Processes keep one hour, so the second rule's long window is 1 hour.
 */
export const burnRules = [
    { name: "page", threshold: 14.4, longMs: burnWindows.oneHour, shortMs: burnWindows.fiveMinutes },
    { name: "ticket", threshold: 6, longMs: burnWindows.oneHour, shortMs: burnWindows.thirtyMinutes },
] as const;
