/** One record of a cell's log: the transitions of one group commit. The first record of an epoch has none. */
export interface LogRecord<T> {
    readonly epoch: number;
    /** Position in the log. The first record has position 1, and positions are contiguous. */
    readonly position: number;
    /** Unique for each opened log; identifies the writer of a slot after a lost response. */
    readonly writer: string;
    readonly transitions: readonly T[];
}
