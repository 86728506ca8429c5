import type { LogRecord } from "./log-record.js";

/** Durable content of a cell, as read from the store. */
export interface ReplayResult<T, S> {
    readonly items: readonly S[];
    /** Records after the snapshot, contiguous and in order. */
    readonly records: readonly LogRecord<T>[];
    /** Last position of the log; 0 for an empty one. */
    readonly lastPosition: number;
    /** Epoch of the record at the last position; 0 for an empty log. */
    readonly newestEpoch: number;
}
