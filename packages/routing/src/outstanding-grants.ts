interface Grant {
    readonly sequence: number;
    readonly slots: number;
    readonly connections: number;
    readonly expiresAtMs: number;
}

/**
 * The grants of one worker that one entry process may still be using. The entry process uses one of them, but the
 * owner cannot know which, so the owner assumes the largest value of each limit.
 */
export class OutstandingGrants {
    private grants: Grant[] = [];

    private constructor() {}

    static create(): OutstandingGrants {
        return new OutstandingGrants();
    }

    add(grant: Grant): void {
        // A new grant supersedes earlier ones that exceed it in neither limit and expire no later.
        this.grants = this.grants.filter(
            old =>
                old.slots > grant.slots ||
                old.connections > grant.connections ||
                old.expiresAtMs > grant.expiresAtMs,
        );
        this.grants.push(grant);
    }

    /** Drops grants before `sequence`, which the entry process has applied and will not revert. */
    confirm(sequence: number): void {
        this.grants = this.grants.filter(grant => grant.sequence >= sequence);
    }

    expire(nowMs: number): void {
        if (this.grants.some(grant => grant.expiresAtMs <= nowMs)) {
            this.grants = this.grants.filter(grant => grant.expiresAtMs > nowMs);
        }
    }

    /** Time at which the last grant expires. */
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
