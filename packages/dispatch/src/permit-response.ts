/** Permits for a step, among the workers that were asked about. */
export interface PermitResponse {
    /** Tickets by worker id; workers without a ticket may not run the step. */
    readonly tickets: ReadonlyMap<string, string>;
    /** Time for which the tickets are valid, in milliseconds. */
    readonly validMs: number;
}
