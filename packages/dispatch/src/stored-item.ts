/** A key of the metadata store with its value. */
export interface StoredItem {
    readonly key: string;
    readonly value: string;
    /** Revision of the key's last change. */
    readonly revision: number;
}
