import type { ManualClock } from "@samphireward/core/manual-clock";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import { KeyValueStore } from "../key-value-store.js";
import type { KvEntry } from "../kv-entry.js";
import { StoreErrorKind } from "../store-error-kind.js";
import type { StoreError } from "../store-error.js";
import type { WatchResult } from "../watch-result.js";
import { StoreFault } from "./store-fault.js";
import { StoreTable } from "./store-table.js";

/**
 * In-memory store for tests. Each process under test uses its own connection (see `connect`) with its own faults;
 * all connections share one table. Time advances only with the manual clock.
 */
export class MemoryKeyValueStore extends KeyValueStore {
    /** Whether every call is refused. */
    isDown = false;
    /** Time by which each call advances the manual clock before it is applied. */
    latencyMs = 0;
    /** Number of calls by kind and bytes of values written, including failed calls. */
    readonly calls = { reads: 0, writes: 0, writtenBytes: 0 };

    private readonly faults: (StoreFault | undefined)[] = [];
    private readonly delayedWrites: (() => void)[] = [];
    private readonly heldCalls: (() => void)[] = [];
    private readonly watchers = new Set<() => void>();
    private isHeld = false;
    private holdPointsLeft = Number.POSITIVE_INFINITY;

    private constructor(
        readonly table: StoreTable,
        private readonly clock: ManualClock,
    ) {
        super();
    }

    static create(clock: ManualClock): MemoryKeyValueStore {
        return new MemoryKeyValueStore(StoreTable.create(clock), clock);
    }

    /** Opens a connection of another process to the same table, without faults. */
    connect(): MemoryKeyValueStore {
        return new MemoryKeyValueStore(this.table, this.clock);
    }

    /** Injects faults into the next calls, one each, in order. */
    failNext(...faults: StoreFault[]): void {
        this.faults.push(...faults);
    }

    /** Injects a fault into the call that follows the next `calls` calls. */
    failAfter(calls: number, fault: StoreFault): void {
        this.faults[calls] = fault;
    }

    clearFaults(): void {
        this.faults.length = 0;
        this.isDown = false;
        this.latencyMs = 0;
    }

    /** Holds every call before it is applied, and every response, as if the process were paused. */
    hold(): void {
        this.isHeld = true;
    }

    /** Like `hold`, but starts after this number of further calls and responses. */
    holdAfter(holdPoints: number): void {
        this.holdPointsLeft = holdPoints;
    }

    /** Lets the held calls and responses continue. */
    release(): void {
        this.isHeld = false;
        this.holdPointsLeft = Number.POSITIVE_INFINITY;
        for (const resume of this.heldCalls.splice(0)) {
            resume();
        }
    }

    /** Applies the writes delayed by `AppliedLate` faults. */
    deliverLate(): void {
        for (const apply of this.delayedWrites.splice(0)) {
            apply();
        }
    }

    /** Ends the pending watches, as if `waitMs` had passed. */
    endWatches(): void {
        for (const end of [...this.watchers]) {
            end();
        }
    }

    override get(key: string): Promise<Result<KvEntry | undefined, StoreError>> {
        return this.read(() => this.table.get(key));
    }

    override list(prefix: string): Promise<Result<WatchResult, StoreError>> {
        return this.read(() => this.table.list(prefix));
    }

    override put(
        key: string,
        value: string,
        ifRevision: number,
        leaseId?: string,
    ): Promise<Result<number, StoreError>> {
        this.calls.writtenBytes += Buffer.byteLength(value);
        return this.write(() => this.table.put(key, value, ifRevision, leaseId));
    }

    override delete(key: string, ifRevision: number): Promise<Result<void, StoreError>> {
        return this.write(() => this.table.delete(key, ifRevision));
    }

    override grantLease(ttlMs: number): Promise<Result<string, StoreError>> {
        return this.write(() => Ok(this.table.grantLease(ttlMs)));
    }

    override renewLease(leaseId: string): Promise<Result<void, StoreError>> {
        return this.write(() => this.table.renewLease(leaseId));
    }

    override revokeLease(leaseId: string): Promise<Result<void, StoreError>> {
        return this.write(() => this.table.revokeLease(leaseId));
    }

    override async watch(prefix: string, afterRevision: number): Promise<Result<WatchResult, StoreError>> {
        const first = await this.read(() => this.table.changes(prefix, afterRevision));
        const hasChanges = first.isOk() && first.value.entries.length + first.value.deleted.length > 0;
        if (first.isErr() || hasChanges) {
            return first;
        }
        await this.nextChange();
        return this.read(() => this.table.changes(prefix, afterRevision));
    }

    private nextChange(): Promise<void> {
        return new Promise(resolve => {
            const end = (): void => {
                stop();
                this.watchers.delete(end);
                resolve();
            };
            const stop = this.table.onChange(end);
            this.watchers.add(end);
        });
    }

    private async read<T>(apply: () => T): Promise<Result<T, StoreError>> {
        this.calls.reads += 1;
        const fault = this.takeFault();
        await this.waitWhileHeld();
        if (fault !== undefined) {
            return this.failure(StoreErrorKind.NotApplied);
        }
        const result = apply();
        await this.waitWhileHeld();
        return Ok(result);
    }

    private async write<T>(apply: () => Result<T, StoreError>): Promise<Result<T, StoreError>> {
        this.calls.writes += 1;
        const fault = this.takeFault();
        await this.waitWhileHeld();
        if (fault === undefined || fault === StoreFault.LostAfterApply) {
            const result = apply();
            await this.waitWhileHeld();
            return fault === undefined ? result : this.failure(StoreErrorKind.MayBeApplied);
        }
        if (fault === StoreFault.AppliedLate) {
            this.delayedWrites.push(apply);
        }
        const isRefused = fault === StoreFault.Refused;
        return this.failure(isRefused ? StoreErrorKind.NotApplied : StoreErrorKind.MayBeApplied);
    }

    private takeFault(): StoreFault | undefined {
        this.clock.advance(this.latencyMs);
        const fault = this.faults.shift();
        return this.isDown ? StoreFault.Refused : fault;
    }

    private async waitWhileHeld(): Promise<void> {
        await Promise.resolve();
        this.isHeld ||= this.holdPointsLeft <= 0;
        this.holdPointsLeft -= 1;
        while (this.isHeld) {
            await new Promise<void>(resolve => this.heldCalls.push(resolve));
        }
    }

    private failure(kind: StoreErrorKind): Err<StoreError> {
        return Err({ kind, message: "injected fault" });
    }
}
