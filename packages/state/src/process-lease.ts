import type { Clock } from "@samphireward/core/clock";
import { Counters } from "@samphireward/core/counters";
import type * as Effect from "effect/Effect";
import type { KeyValueStore } from "./key-value-store.js";
import { repeatStep } from "./repeat-step.js";
import { StoreErrorKind } from "./store-error-kind.js";

interface Options {
    readonly store: KeyValueStore;
    readonly clock: Clock;
    readonly ttlMs?: number;
    readonly renewIntervalMs?: number;
    /** Part of the TTL that is not used, because the clock of the store may run faster than that of this process. */
    readonly marginMs?: number;
}

/** Delay after a failed renewal; several attempts fit into the TTL. */
const RetryDelayMs = 250;

/**
 * Store lease of this process, under which it registers and owns cells. Validity is measured on the monotonic
 * clock from before the renewal is sent, so that a pause or a slow response never extends it.
 */
export class ProcessLease {
    readonly counters = Counters.create();
    private readonly ttlMs: number;
    private readonly renewIntervalMs: number;
    private readonly marginMs: number;
    private id: string | undefined;
    private validUntilMs = Number.NEGATIVE_INFINITY;
    private isReleased = false;

    private constructor(private readonly options: Options) {
        this.ttlMs = options.ttlMs ?? 4000;
        this.renewIntervalMs = options.renewIntervalMs ?? 1000;
        this.marginMs = options.marginMs ?? 500;
    }

    static create(options: Options): ProcessLease {
        return new ProcessLease(options);
    }

    /**
     * ID of the current lease; `undefined` before the first grant and after a release. It changes when the store
     * has ended the lease, which deletes the keys written under the previous ID.
     */
    get leaseId(): string | undefined {
        return this.id;
    }

    /** Whether the store certainly still holds the lease. */
    isValid(): boolean {
        return this.remainingMs() > 0;
    }

    /** Time for which the lease is certainly valid without another renewal; 0 when it is not certainly valid. */
    remainingMs(): number {
        return Math.max(0, this.validUntilMs - this.options.clock.nowMs());
    }

    /** Requests or renews the lease once. Returns the delay until the next call in milliseconds. */
    async step(): Promise<number> {
        if (this.isReleased) {
            return this.renewIntervalMs;
        }
        const isDone = this.id === undefined ? await this.grant() : await this.renew(this.id);
        this.counters.add(isDone ? "lease.renewed" : "lease.failed");
        return isDone ? this.renewIntervalMs : RetryDelayMs;
    }

    /** Revokes the lease on a planned stop, which deletes its keys immediately. */
    async release(): Promise<void> {
        const id = this.id;
        this.isReleased = true;
        this.id = undefined;
        this.validUntilMs = Number.NEGATIVE_INFINITY;
        if (id !== undefined) {
            await this.options.store.revokeLease(id);
        }
    }

    /** Keeps the lease alive until interrupted. */
    run(): Effect.Effect<never> {
        return repeatStep(() => this.step());
    }

    private async grant(): Promise<boolean> {
        const sentAtMs = this.options.clock.nowMs();
        const granted = await this.options.store.grantLease(this.ttlMs);
        if (granted.isErr() || this.isReleased) {
            // A lease whose grant response was lost has no keys and expires by itself.
            return false;
        }
        this.id = granted.value;
        this.validUntilMs = sentAtMs + this.ttlMs - this.marginMs;
        return true;
    }

    private async renew(id: string): Promise<boolean> {
        const sentAtMs = this.options.clock.nowMs();
        const renewed = await this.options.store.renewLease(id);
        if (this.isReleased) {
            return false;
        }
        if (renewed.isOk()) {
            this.validUntilMs = sentAtMs + this.ttlMs - this.marginMs;
            return true;
        }
        if (renewed.error.kind !== StoreErrorKind.LeaseLost) {
            return false;
        }
        this.counters.add("lease.lost");
        this.id = undefined;
        this.validUntilMs = Number.NEGATIVE_INFINITY;
        return this.grant();
    }
}
