/** A key of the store with its value. */
export interface KvEntry {
    readonly key: string;
    readonly value: string;
    /** Store-wide revision of the last write to this key; never reused. */
    readonly revision: number;
    readonly leaseId?: string;
}
