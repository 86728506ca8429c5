/** Schedule of a repeated job: occurrence k is due at `firstAtMs + k * intervalMs` (milliseconds since 1970). */
export interface JobSchedule {
    readonly occurrences: number;
    readonly firstAtMs: number;
    readonly intervalMs: number;
}
