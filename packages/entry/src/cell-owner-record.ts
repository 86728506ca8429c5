/** The owner of a cell as others know it. */
export interface CellOwnerRecord {
    readonly owner: string;
    readonly epoch: number;
    /** Peer address, `ip:port`. */
    readonly address: string;
}
