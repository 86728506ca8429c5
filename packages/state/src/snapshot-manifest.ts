/** Value of the key `cell/<name>/snapshot`. */
export interface SnapshotManifest<S> {
    readonly epoch: number;
    /** Last position that the snapshot includes. */
    readonly position: number;
    readonly writer: string;
    /** The state, if it fits into this value; otherwise empty. */
    readonly items: readonly S[];
    /** Keys of the parts in order, if the state does not fit into this value; otherwise empty. */
    readonly parts: readonly string[];
}
