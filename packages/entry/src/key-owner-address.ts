/** Entry process to which a claim for an idempotency key is sent. */
export interface KeyOwnerAddress {
    readonly isSelf: boolean;
    /** Peer address, `ip:port`. */
    readonly address: string;
}
