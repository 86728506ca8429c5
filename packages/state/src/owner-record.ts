/** Value of the key `cell/<name>/owner`. */
export interface OwnerRecord {
    /** Name of the scheduler process. */
    readonly owner: string;
    readonly epoch: number;
    /** `ip:port` where entry processes attach. */
    readonly address: string;
}
