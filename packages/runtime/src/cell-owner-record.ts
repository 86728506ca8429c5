/** The owner of a cell as others know it. */
export interface CellOwnerRecord {
    readonly cell: string;
    readonly owner: string;
    readonly epoch: number;
    /** Peer address, `ip:port`. */
    readonly address: string;
}
