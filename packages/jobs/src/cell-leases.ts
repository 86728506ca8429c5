/** Remaining leases of a cell's workers, in milliseconds and by worker key, where they differ from a granted lease. */
export interface CellLeases {
    /** Of workers whose lease may last longer than one that is granted now. */
    readonly longMs: ReadonlyMap<string, number>;
    /** Of workers that do not answer, whose lease is not extended meanwhile. */
    readonly silentMs: ReadonlyMap<string, number>;
}
