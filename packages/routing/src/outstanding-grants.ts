interface Grant {
    readonly sequence: number;
    readonly slots: number;
    readonly connections: number;
    readonly expiresAtMs: number;
}

/**
 * The grants of one worker to one entry process that the entry process may still be using. It holds one of
 * them, but the owner cannot know which, so each limit is bounded by the largest.
 */
export class OutstandingGrants {
    private grants: Grant[] = [];

    private constructor() {}

    static create(): OutstandingGrants {
        return new OutstandingGrants();
    }

    add(grant: Grant): void {
        // A later and larger grant covers an earlier one for both limits and for the whole time.
        this.grants = this.grants.filter(
            old =>
                old.slots > grant.slots ||
                old.connections > grant.connections ||
                old.expiresAtMs > grant.expiresAtMs,
        );
        this.grants.push(grant);
    }

    /** The entry process has applied this sequence and will not return to an earlier one. */
    confirm(sequence: number): void {
        this.grants = this.grants.filter(grant => grant.sequence >= sequence);
    }

    expire(nowMs: number): void {
        if (this.grants.some(grant => grant.expiresAtMs <= nowMs)) {
            this.grants = this.grants.filter(grant => grant.expiresAtMs > nowMs);
        }
    }

    /** Time at which the last of them expires. */
    get lastExpiresAtMs(): number {
        return this.grants.reduce((last, grant) => Math.max(last, grant.expiresAtMs), -Infinity);
    }

    get isEmpty(): boolean {
        return this.grants.length === 0;
    }

    get slots(): number {
        return this.grants.reduce((most, grant) => Math.max(most, grant.slots), 0);
    }

    get connections(): number {
        return this.grants.reduce((most, grant) => Math.max(most, grant.connections), 0);
    }
}
