/** The workers that may hold runs of a cell. */
export interface Roster {
    /** Keys of worker incarnations: id and start time, as `id/startedAtMs`. */
    readonly lives: readonly string[];
    /** Longest lease that any owner has granted, in milliseconds; undefined if not known. */
    readonly leaseMs: number | undefined;
    /**
     * Remaining leases, in milliseconds and by key, of the workers whose lease may last longer than `leaseMs`; undefined
     * if not known. They hold for the epoch of the owner that wrote them.
     */
    readonly leasesMs: ReadonlyMap<string, number> | undefined;
    /** Epoch of the owner that wrote the roster; undefined if not known. */
    readonly epoch: number | undefined;
}
