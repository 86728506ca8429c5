/** The workers that may hold runs of a cell. */
export interface Roster {
    /** Keys of worker incarnations: id and start time, as `id/startedAtMs`. */
    readonly lives: readonly string[];
    /** Longest lease that any owner has granted, in milliseconds; undefined if not known. */
    readonly leaseMs: number | undefined;
    /**
     * Remaining leases, in milliseconds and by key, of workers whose lease may last longer than `leaseMs`, and of workers
     * that do not answer; undefined if not known. An owner that has written such a lease does not extend it.
     */
    readonly leasesMs: ReadonlyMap<string, number> | undefined;
    /** Epoch of the owner that wrote the roster; undefined if not known. */
    readonly epoch: number | undefined;
}
