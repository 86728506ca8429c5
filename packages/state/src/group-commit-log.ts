import type { Clock } from "@samphireward/core/clock";
import { CodedError } from "@samphireward/core/coded-error";
import { Counters } from "@samphireward/core/counters";
import { ResultCode } from "@samphireward/core/result-code";
import * as Effect from "effect/Effect";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import type { AppendOptions } from "./append-options.js";
import { AppendQueue } from "./append-queue.js";
import { CellKeys } from "./cell-keys.js";
import type { KeyValueStore } from "./key-value-store.js";
import { LogBatch } from "./log-batch.js";
import { LogLimits } from "./log-limits.js";
import { LogRing } from "./log-ring.js";
import type { LogStateMachine } from "./log-state-machine.js";
import { openLog } from "./open-log.js";
import { repeatStep } from "./repeat-step.js";
import { SnapshotStore } from "./snapshot-store.js";
import { TransitionLog } from "./transition-log.js";

interface Options<T, S> {
    readonly store: KeyValueStore;
    readonly clock: Clock;
    readonly cell: string;
    /** Name of the owning process and the epoch that it has claimed (see `CellOwnership`). */
    readonly owner: string;
    readonly epoch: number;
    readonly state: LogStateMachine<T, S>;
    /** Longest time that the first append of a commit waits in the queue. */
    readonly commitIntervalMs?: number;
    /**
     * `all` (default): the log applies replayed and newly committed transitions to the state. `replay`: only
     * replayed ones; the caller applies its own transitions synchronously when `append` resolves.
     */
    readonly applyMode?: "all" | "replay";
    /** Number of slots in the ring. Must be the same for all owners of a cell; set only in tests. */
    readonly ringSlots?: number;
    /** Called once when another process has become the owner of the cell. */
    readonly onDeposed?: () => void;
}

const DefaultCommitIntervalMs = 100;
const RetryDelayMs = 200;
const ExpiryIntervalMs = 250;

/** Number of logs that this process has tried to open; makes the writer names unique. */
let openedLogCount = 0;

/** Log of a cell with group commit; one instance per epoch of ownership (docs/design.md, section 5.2). */
export class GroupCommitLog<T, S> extends TransitionLog<T> {
    private readonly queue = AppendQueue.create<T>();
    private batch: LogBatch<T> | undefined;
    private readonly recordsPerSnapshot: number;
    private nextSnapshotPosition: number;
    private isDeposed = false;
    private pendingCommit: Promise<number> | undefined;
    private wakeCommitLoop: () => void = () => undefined;

    private constructor(
        private readonly options: Options<T, S>,
        private readonly ring: LogRing<T>,
        private readonly snapshots: SnapshotStore<S>,
        private readonly writer: string,
        private lastPosition: number,
        /** `log.*` and `snapshot.*`: store reads, store writes and bytes written, transitions and records. */
        readonly counters: Counters,
    ) {
        super();
        this.recordsPerSnapshot = (options.ringSlots ?? LogLimits.ringSlots) * LogLimits.snapshotRingFraction;
        this.nextSnapshotPosition = snapshots.position + this.recordsPerSnapshot;
    }

    /**
     * Replays the log into the state and appends the record that starts this epoch, which fences all earlier
     * owners. Fails with `StaleEpoch` when a higher epoch has started, and with `StoreUnavailable` when the log
     * could not be read or written; the call may then be repeated.
     */
    static async open<T, S>(options: Options<T, S>): Promise<Result<GroupCommitLog<T, S>, CodedError>> {
        const counters = Counters.create();
        const keys = CellKeys.create(options.cell);
        // A call that is repeated after a lost response must not mistake the records of the first call for its own.
        openedLogCount += 1;
        const writer = `${options.owner}#${options.epoch}#${openedLogCount}`;
        const ring = LogRing.create<T>(options.store, keys, counters, options.ringSlots);
        const snapshots = SnapshotStore.create<S>(options.store, keys, writer, counters);
        const { epoch, state } = options;
        const opened = await openLog({ ring, snapshots, state, epoch, writer });
        return opened.map(
            position => new GroupCommitLog(options, ring, snapshots, writer, position, counters),
        );
    }

    /** Last position that this owner knows to be durable. */
    get position(): number {
        return this.lastPosition;
    }

    override append(transitions: readonly T[], options?: AppendOptions): Promise<Result<void, CodedError>> {
        if (this.isDeposed) {
            return Promise.resolve(this.refusal(ResultCode.StaleEpoch));
        }
        const json = transitions.map(transition => JSON.stringify(transition)).join(",");
        const bytes = Buffer.byteLength(json);
        if (bytes > LogLimits.maxAppendBytes) {
            return Promise.resolve(this.refusal(ResultCode.RequestTooLarge));
        }
        const queuedAtMs = this.options.clock.nowMs();
        const deadlineMs = queuedAtMs + (options?.queueTimeoutMs ?? Number.POSITIVE_INFINITY);
        return new Promise(resolve => {
            const append = { transitions, json, bytes, queuedAtMs, deadlineMs, resolve };
            if (!this.queue.tryPush(append)) {
                this.counters.add("log.queue-full");
                resolve(this.refusal(ResultCode.StoreUnavailable));
            }
            this.wakeCommitLoop();
        });
    }

    /**
     * Writes at most one record; a concurrent call joins the pending one. Returns the delay in milliseconds until the
     * next call is useful.
     */
    commit(): Promise<number> {
        this.pendingCommit ??= this.commitOnce().finally(() => (this.pendingCommit = undefined));
        return this.pendingCommit;
    }

    /**
     * Commits all queued appends before a planned stop. Gives up after `maxAttempts` commits without progress.
     * Returns whether nothing is left to commit.
     */
    async flush(maxAttempts = 3): Promise<boolean> {
        let attempts = 0;
        while (!this.isIdle() && !this.isDeposed && attempts < maxAttempts) {
            const before = this.lastPosition;
            await this.commit();
            attempts = this.lastPosition > before ? 0 : attempts + 1;
        }
        return this.isIdle();
    }

    /** Commits until interrupted. Appends that are then pending never resolve, because their outcome is unknown. */
    run(): Effect.Effect<never> {
        const commits = repeatStep(async () => {
            if (this.isIdle()) {
                await new Promise<void>(resolve => (this.wakeCommitLoop = resolve));
            }
            const pauseMs = this.msUntilCommit();
            return pauseMs > 0 ? pauseMs : this.commit();
        });
        // Runs separately, because a commit may wait for the full timeout of the store.
        const expiry = repeatStep(() => {
            this.rejectExpired();
            return Promise.resolve(ExpiryIntervalMs);
        });
        return Effect.raceFirst(commits, expiry);
    }

    private async commitOnce(): Promise<number> {
        this.rejectExpired();
        this.batch ??= this.nextBatch();
        if (this.batch === undefined || this.isDeposed) {
            return this.msUntilCommit();
        }
        const hasFreeSlot = this.ring.hasFreeSlot(this.batch.record.position, this.snapshots.position);
        if (!hasFreeSlot && !(await this.writeSnapshot())) {
            this.requeueBatch(this.batch);
            return RetryDelayMs;
        }
        const isDone = await this.writeBatch(this.batch);
        if (isDone && this.lastPosition >= this.nextSnapshotPosition) {
            await this.writeSnapshot();
        }
        return isDone ? this.msUntilCommit() : RetryDelayMs;
    }

    private isIdle(): boolean {
        return this.batch === undefined && this.queue.oldestQueuedAtMs === undefined;
    }

    /** Time until the oldest queued append has waited for the commit interval; 0 when idle or a batch is pending. */
    private msUntilCommit(): number {
        const intervalMs = this.options.commitIntervalMs ?? DefaultCommitIntervalMs;
        const oldestQueuedAtMs = this.queue.oldestQueuedAtMs;
        if (this.batch !== undefined || oldestQueuedAtMs === undefined) {
            return 0;
        }
        return Math.max(0, oldestQueuedAtMs + intervalMs - this.options.clock.nowMs());
    }

    private nextBatch(): LogBatch<T> | undefined {
        const appends = this.queue.takeBatch();
        if (appends.length === 0) {
            return undefined;
        }
        const { epoch } = this.options;
        const head = { epoch, position: this.lastPosition + 1, writer: this.writer };
        return LogBatch.create(head, appends);
    }

    /** Writes a snapshot of the current state. Returns whether it is durable. */
    private async writeSnapshot(): Promise<boolean> {
        // Lets callers whose `append` has resolved apply their transitions before the snapshot is taken.
        await new Promise(resolve => setImmediate(resolve));
        const position = this.lastPosition;
        const items = this.options.state.snapshot();
        const isWritten = await this.snapshots.write(this.options.epoch, position, items);
        this.counters.add(isWritten ? "snapshot.written" : "snapshot.failed");
        const recordsUntilNext = isWritten ? this.recordsPerSnapshot : LogLimits.snapshotRetryRecords;
        this.nextSnapshotPosition = position + recordsUntilNext;
        return isWritten;
    }

    private async writeBatch(batch: LogBatch<T>): Promise<boolean> {
        const outcome = await this.ring.write(batch.record, batch.value);
        batch.mayBeWritten ||= outcome.mayBeWritten;
        switch (outcome.kind) {
            case "durable":
                this.completeBatch(batch);
                return true;
            case "not-written":
                this.requeueBatch(batch);
                return false;
            case "unknown":
                return false;
            case "occupied":
                // A record of a later position has overwritten whatever was in this slot, so the outcome is unknown.
                this.handleDeposed(
                    batch,
                    batch.mayBeWritten && outcome.occupant?.position !== batch.record.position,
                );
                return false;
            case "missing":
                this.handleDeposed(batch, batch.mayBeWritten);
                return false;
        }
    }

    private completeBatch(batch: LogBatch<T>): void {
        this.batch = undefined;
        this.lastPosition = batch.record.position;
        this.counters.add("log.records");
        this.counters.add("log.transitions", batch.record.transitions.length);
        if (this.options.applyMode !== "replay") {
            batch.record.transitions.forEach(transition => this.options.state.apply(transition));
        }
        for (const append of batch.appends) {
            append.resolve(Ok(undefined));
        }
    }

    /** Puts a batch back into the queue, where its appends may expire, if it was certainly not written. */
    private requeueBatch(batch: LogBatch<T>): void {
        if (!batch.mayBeWritten) {
            this.batch = undefined;
            this.queue.requeue(batch.appends);
        }
    }

    private rejectExpired(): void {
        for (const append of this.queue.takeExpired(this.options.clock.nowMs())) {
            this.counters.add("log.expired");
            append.resolve(this.refusal(ResultCode.StoreUnavailable));
        }
    }

    private handleDeposed(batch: LogBatch<T>, isOutcomeUnknown: boolean): void {
        this.isDeposed = true;
        this.batch = undefined;
        this.counters.add("log.deposed");
        const code = isOutcomeUnknown ? ResultCode.OwnerUnreachable : ResultCode.StaleEpoch;
        batch.appends.forEach(append => append.resolve(this.refusal(code)));
        this.queue.takeAll().forEach(append => append.resolve(this.refusal(ResultCode.StaleEpoch)));
        this.options.onDeposed?.();
    }

    private refusal(code: ResultCode): Err<CodedError> {
        const { cell, epoch } = this.options;
        return Err(CodedError.create(code, `append to the log of cell ${cell} in epoch ${epoch} refused`));
    }
}
