/** The workers that may hold runs of a cell. */
export interface Roster {
    /** Keys of worker incarnations: id and start time, as `id/startedAtMs`. */
    readonly lives: readonly string[];
    /** Longest lease that any owner has granted, in milliseconds; undefined if not known. */
    readonly leaseMs: number | undefined;
}
