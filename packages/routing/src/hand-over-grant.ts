/** A share granted by the previous cell owner that may still be in use, as passed to the next owner. */
export interface HandOverGrant {
    readonly worker: string;
    readonly entry: string;
    readonly slots: number;
    readonly connections: number;
    /** Upper bound of the time for which the entry process may still use it. */
    readonly expiresInMs: number;
}
