/** Which of the workers that were asked about may run a step. */
export interface PermitResponse {
    /** By the worker's id. */
    readonly tickets: ReadonlyMap<string, string>;
    /** Time for which the tickets are valid, in milliseconds. */
    readonly validMs: number;
}
