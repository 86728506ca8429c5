/**
 * Lease from a cell's owner to one entry process, which may use this many slots and connections of the worker until
 * `expiresInMs` after it sent the report that the owner's update answers.
 */
export interface SlotShare {
    readonly worker: string;
    readonly slots: number;
    readonly connections: number;
    /** The owner's epoch; a share of a higher epoch replaces one of a lower epoch. */
    readonly epoch: number;
    readonly expiresInMs: number;
}
