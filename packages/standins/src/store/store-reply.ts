/** Response of the stand-in store before it is written to the connection. */
export interface StoreReply {
    /** Kind of call for the counters: `read`, `list`, `write`, `lease`, `watch` or `unknown`. */
    readonly kind: string;
    readonly status: number;
    readonly body: object;
    /** Total size of the values read or written. */
    readonly bytes: number;
}
