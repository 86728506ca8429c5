/**
 * Until when an owner knows that no other process has taken its cell over. Leases on workers are counted from that time:
 * the next owner counts them from its claim at the earliest, so none that this owner grants lasts longer.
 */
export class OwnershipProof {
    private constructor(private latestMs: number) {}

    /** `atMs` is the monotonic time at which the call that acquired the cell was sent. */
    static create(atMs: number): OwnershipProof {
        return new OwnershipProof(atMs);
    }

    /** Monotonic time as of which no other process had taken over. */
    get provenAtMs(): number {
        return this.latestMs;
    }

    /** Records a successful check by the time at which it was sent, since a takeover may follow before the response. */
    note(sentAtMs: number): void {
        this.latestMs = Math.max(this.latestMs, sentAtMs);
    }
}
