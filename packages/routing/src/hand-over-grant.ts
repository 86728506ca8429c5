/** A share that an earlier owner has granted and that may still be in use, as it is handed to the next owner. */
export interface HandOverGrant {
    readonly worker: string;
    readonly entry: string;
    readonly slots: number;
    readonly connections: number;
    /** Longest time for which the entry process may still use it. */
    readonly expiresInMs: number;
}
