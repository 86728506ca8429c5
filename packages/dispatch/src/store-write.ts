/** A key to write; with a lease, the key is removed when the lease ends. */
export interface StoreWrite {
    readonly key: string;
    readonly value: string;
    readonly leaseId?: string;
}
