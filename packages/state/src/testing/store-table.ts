import type { Clock } from "@samphireward/core/clock";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import type { KvEntry } from "../kv-entry.js";
import { StoreErrorKind } from "../store-error-kind.js";
import type { StoreError } from "../store-error.js";
import { StoreLimits } from "../store-limits.js";
import type { WatchResult } from "../watch-result.js";

interface Lease {
    readonly ttlMs: number;
    expiresAtMs: number;
}

const KeyPattern = /^[a-z0-9./-]+$/;

const failure = (kind: StoreErrorKind, message: string): Err<StoreError> => Err({ kind, message });

/** Entries, leases and rules of a store, without a transport. Used by the stand-in process and the in-memory fake. */
export class StoreTable {
    private readonly entries = new Map<string, KvEntry>();
    private readonly deletions = new Map<string, number>();
    private readonly leases = new Map<string, Lease>();
    private readonly listeners = new Set<(written?: KvEntry) => void>();
    private currentRevision = 0;
    private leaseCount = 0;

    private constructor(private readonly clock: Clock) {}

    static create(clock: Clock): StoreTable {
        return new StoreTable(clock);
    }

    get revision(): number {
        return this.currentRevision;
    }

    get(key: string): KvEntry | undefined {
        this.expireLeases();
        return this.entries.get(key);
    }

    list(prefix: string): WatchResult {
        return this.changes(prefix, 0);
    }

    /** Entries and deletions under a prefix after a revision. A list (`after` is 0) has no deletions. */
    changes(prefix: string, after: number): WatchResult {
        this.expireLeases();
        const entries = [...this.entries.values()]
            .filter(entry => entry.key.startsWith(prefix) && entry.revision > after)
            .sort((a, b) => a.revision - b.revision);
        const deleted = [...this.deletions]
            .filter(([key, revision]) => after > 0 && key.startsWith(prefix) && revision > after)
            .map(([key]) => key);
        const returned = entries.slice(0, StoreLimits.maxListEntries);
        const isComplete = returned.length === entries.length;
        const revision = isComplete ? this.currentRevision : (returned.at(-1)?.revision ?? after);
        return { entries: returned, deleted, revision };
    }

    put(key: string, value: string, ifRevision: number, leaseId?: string): Result<number, StoreError> {
        this.expireLeases();
        if (!KeyPattern.test(key) || Buffer.byteLength(value) > StoreLimits.maxValueBytes) {
            return failure(StoreErrorKind.NotApplied, `key or value of "${key}" is outside the limits`);
        }
        if (leaseId !== undefined && !this.leases.has(leaseId)) {
            return failure(StoreErrorKind.LeaseLost, `lease ${leaseId} does not exist`);
        }
        const current = this.entries.get(key);
        if ((current?.revision ?? 0) !== ifRevision) {
            return this.conflict(current);
        }
        const revision = this.nextRevision();
        const entry = { key, value, revision, ...(leaseId === undefined ? {} : { leaseId }) };
        this.entries.set(key, entry);
        this.deletions.delete(key);
        this.notify(entry);
        return Ok(revision);
    }

    delete(key: string, ifRevision: number): Result<void, StoreError> {
        this.expireLeases();
        const current = this.entries.get(key);
        if (current?.revision !== ifRevision) {
            return this.conflict(current);
        }
        this.remove(key);
        this.notify();
        return Ok(undefined);
    }

    grantLease(ttlMs: number): string {
        this.leaseCount += 1;
        const leaseId = `lease-${this.leaseCount}`;
        this.leases.set(leaseId, { ttlMs, expiresAtMs: this.clock.nowMs() + ttlMs });
        return leaseId;
    }

    renewLease(leaseId: string): Result<void, StoreError> {
        this.expireLeases();
        const lease = this.leases.get(leaseId);
        if (lease === undefined) {
            return failure(StoreErrorKind.LeaseLost, `lease ${leaseId} does not exist`);
        }
        lease.expiresAtMs = this.clock.nowMs() + lease.ttlMs;
        return Ok(undefined);
    }

    revokeLease(leaseId: string): Result<void, StoreError> {
        this.expireLeases();
        if (!this.leases.has(leaseId)) {
            return failure(StoreErrorKind.LeaseLost, `lease ${leaseId} does not exist`);
        }
        this.endLease(leaseId);
        return Ok(undefined);
    }

    /** Ends expired leases and deletes their keys. */
    expireLeases(): void {
        const now = this.clock.nowMs();
        for (const [leaseId, lease] of this.leases) {
            if (lease.expiresAtMs <= now) {
                this.endLease(leaseId);
            }
        }
    }

    /** Calls the listener after each change, with the entry if it is a write. Returns a function to unsubscribe. */
    onChange(listener: (written?: KvEntry) => void): () => void {
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }

    private endLease(leaseId: string): void {
        this.leases.delete(leaseId);
        const keys = [...this.entries.values()].filter(entry => entry.leaseId === leaseId);
        for (const entry of keys) {
            this.remove(entry.key);
        }
        if (keys.length > 0) {
            this.notify();
        }
    }

    private remove(key: string): void {
        this.entries.delete(key);
        this.deletions.set(key, this.nextRevision());
    }

    private nextRevision(): number {
        this.currentRevision += 1;
        return this.currentRevision;
    }

    private conflict(current: KvEntry | undefined): Err<StoreError> {
        return Err({ kind: StoreErrorKind.Conflict, message: "the revision differs", current });
    }

    private notify(written?: KvEntry): void {
        for (const listener of [...this.listeners]) {
            listener(written);
        }
    }
}
