/** One record of a cell's log: the transitions of one group commit. The first of an epoch has none. */
export interface LogRecord<T> {
    readonly epoch: number;
    /** Position in the log; the first record has 1, and positions are contiguous. */
    readonly position: number;
    /** Unique for each owner and epoch; tells after a lost answer whose record a slot holds. */
    readonly writer: string;
    readonly transitions: readonly T[];
}
