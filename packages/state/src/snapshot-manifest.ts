/** Value of the key `cell/<name>/snapshot`. */
export interface SnapshotManifest<S> {
    readonly epoch: number;
    /** Last position that the snapshot includes. */
    readonly position: number;
    readonly writer: string;
    /** The state, when it fits into this value. */
    readonly items: readonly S[];
    /** Otherwise the keys of its parts, in order. */
    readonly parts: readonly string[];
}
