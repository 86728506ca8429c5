/** Owner of a cell, as published in the store and sent between peers. */
export interface CellOwnerRecord {
    readonly cell: string;
    readonly owner: string;
    readonly epoch: number;
    /** Peer address, `ip:port`. */
    readonly address: string;
}
