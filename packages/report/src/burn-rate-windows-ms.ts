const MinuteMs = 60_000;

/** Windows over which burn rates are computed, in milliseconds: 5 minutes, 30 minutes and 1 hour. */
export const burnRateWindowsMs = {
    fiveMinutes: 5 * MinuteMs,
    thirtyMinutes: 30 * MinuteMs,
    oneHour: 60 * MinuteMs,
} as const;
