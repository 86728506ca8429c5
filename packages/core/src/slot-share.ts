/**
 * A contract between a cell's owner and one entry process: until `expiresInMs` has passed since it was
 * received, the entry process may use this many slots and connections of the worker.
 */
export interface SlotShare {
    readonly worker: string;
    readonly slots: number;
    readonly connections: number;
    /** The owner's epoch; a share of a higher epoch replaces one of a lower epoch. */
    readonly epoch: number;
    readonly expiresInMs: number;
}
