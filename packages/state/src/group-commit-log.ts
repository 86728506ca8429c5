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
    /** Name of the owning process and the epoch that it claimed (`CellOwnership`). */
    readonly owner: string;
    readonly epoch: number;
    readonly state: LogStateMachine<T, S>;
    /** Longest wait of the first transition of a commit. */
    readonly commitIntervalMs?: number;
    /**
     * `all` (default): the log applies replayed and own transitions to the state. `replay`: only replayed ones;
     * the caller applies its own synchronously when `append` resolves.
     */
    readonly applies?: "all" | "replay";
    /** Slots of the ring, the same for all owners of a cell; changed only in tests. */
    readonly ringSlots?: number;
    /** Called once when another owner has taken the cell. */
    readonly onDeposed?: () => void;
}

const DefaultCommitIntervalMs = 100;
const RetryMs = 200;
const ExpireEveryMs = 250;

/** Number of logs that this process has opened. */
let openedLogs = 0;

/** A cell's log with group commit; one instance for each epoch of ownership (docs/design.md, section 5.2). */
export class GroupCommitLog<T, S> extends TransitionLog<T> {
    private readonly queue = AppendQueue.create<T>();
    private batch: LogBatch<T> | undefined;
    private readonly snapshotEvery: number;
    private snapshotDue: number;
    private isDeposed = false;
    private underWay: Promise<number> | undefined;
    private wake: () => void = () => undefined;

    private constructor(
        private readonly options: Options<T, S>,
        private readonly ring: LogRing<T>,
        private readonly snapshots: SnapshotStore<S>,
        private readonly writer: string,
        private lastPosition: number,
        /** `log.*` and `snapshot.*`: reads, writes and bytes at the store, transitions and records. */
        readonly counters: Counters,
    ) {
        super();
        this.snapshotEvery = (options.ringSlots ?? LogLimits.ringSlots) * LogLimits.snapshotShare;
        this.snapshotDue = snapshots.position + this.snapshotEvery;
    }

    /**
     * Replays the log into the state and appends the record that starts this epoch, which fences every earlier
     * owner. Fails with `StaleEpoch` when a higher epoch has started, with `StoreUnavailable` when the store
     * did not answer; the same call may then be repeated.
     */
    static async open<T, S>(options: Options<T, S>): Promise<Result<GroupCommitLog<T, S>, CodedError>> {
        const counters = Counters.create();
        const keys = CellKeys.create(options.cell);
        // A call that is repeated after a lost answer must not take the first call's records for its own.
        openedLogs += 1;
        const writer = `${options.owner}#${options.epoch}#${openedLogs}`;
        const ring = LogRing.create<T>(options.store, keys, counters, options.ringSlots);
        const snapshots = SnapshotStore.create<S>(options.store, keys, writer, counters);
        const { epoch, state } = options;
        const opened = await openLog({ ring, snapshots, state, epoch, writer });
        return opened.map(
            position => new GroupCommitLog(options, ring, snapshots, writer, position, counters),
        );
    }

    /** Last durable position that this owner knows. */
    get position(): number {
        return this.lastPosition;
    }

    override append(transitions: readonly T[], options?: AppendOptions): Promise<Result<void, CodedError>> {
        if (this.isDeposed) {
            return Promise.resolve(this.refusal(ResultCode.StaleEpoch));
        }
        const json = transitions.map(transition => JSON.stringify(transition)).join(",");
        const bytes = Buffer.byteLength(json);
        if (bytes > LogLimits.appendBytes) {
            return Promise.resolve(this.refusal(ResultCode.RequestTooLarge));
        }
        const queuedMs = this.options.clock.nowMs();
        const deadlineMs = queuedMs + (options?.giveUpAfterMs ?? Number.POSITIVE_INFINITY);
        return new Promise(resolve => {
            const append = { transitions, json, bytes, queuedMs, deadlineMs, resolve };
            if (!this.queue.offer(append)) {
                this.counters.add("log.queue-full");
                resolve(this.refusal(ResultCode.StoreUnavailable));
            }
            this.wake();
        });
    }

    /** Writes at most one record, one call at a time. Returns the pause until the next call is useful. */
    commit(): Promise<number> {
        this.underWay ??= this.commitOnce().finally(() => (this.underWay = undefined));
        return this.underWay;
    }

    /** Commits everything that is queued, on a planned stop. Returns whether nothing is left. */
    async flush(maxTries = 3): Promise<boolean> {
        let tries = 0;
        while (!this.isIdle() && !this.isDeposed && tries < maxTries) {
            const before = this.lastPosition;
            await this.commit();
            tries = this.lastPosition > before ? 0 : tries + 1;
        }
        return this.isIdle();
    }

    /** Commits until interrupted; pending appends stay unresolved then, because their outcome is not known. */
    run(): Effect.Effect<never> {
        const commits = repeatStep(async () => {
            if (this.isIdle()) {
                await new Promise<void>(resolve => (this.wake = resolve));
            }
            const pauseMs = this.pauseMs();
            return pauseMs > 0 ? pauseMs : this.commit();
        });
        // Separate from the commits, because one may wait for the store's whole time limit.
        const expiry = repeatStep(() => {
            this.expire();
            return Promise.resolve(ExpireEveryMs);
        });
        return Effect.raceFirst(commits, expiry);
    }

    private async commitOnce(): Promise<number> {
        this.expire();
        this.batch ??= this.nextBatch();
        if (this.batch === undefined || this.isDeposed) {
            return this.pauseMs();
        }
        const hasRoom = this.ring.hasRoom(this.batch.record.position, this.snapshots.position);
        if (!hasRoom && !(await this.writeSnapshot())) {
            this.retryLater(this.batch);
            return RetryMs;
        }
        const isDone = await this.writeBatch(this.batch);
        if (isDone && this.lastPosition >= this.snapshotDue) {
            await this.writeSnapshot();
        }
        return isDone ? this.pauseMs() : RetryMs;
    }

    private isIdle(): boolean {
        return this.batch === undefined && this.queue.oldestMs === undefined;
    }

    /** Time until the oldest queued append has waited for the commit interval. */
    private pauseMs(): number {
        const intervalMs = this.options.commitIntervalMs ?? DefaultCommitIntervalMs;
        const oldestMs = this.queue.oldestMs;
        if (this.batch !== undefined || oldestMs === undefined) {
            return 0;
        }
        return Math.max(0, oldestMs + intervalMs - this.options.clock.nowMs());
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

    /** Writes a snapshot of the state now. Returns whether it is durable. */
    private async writeSnapshot(): Promise<boolean> {
        // Callers whose `append` has resolved apply their transitions before the state is taken.
        await new Promise(resolve => setImmediate(resolve));
        const position = this.lastPosition;
        const items = this.options.state.snapshot();
        const isWritten = await this.snapshots.write(this.options.epoch, position, items);
        this.counters.add(isWritten ? "snapshot.written" : "snapshot.failed");
        const pause = isWritten ? this.snapshotEvery : LogLimits.snapshotRetry;
        this.snapshotDue = position + pause;
        return isWritten;
    }

    private async writeBatch(batch: LogBatch<T>): Promise<boolean> {
        const outcome = await this.ring.write(batch.record, batch.value);
        batch.mayBeWritten ||= outcome.mayBeWritten;
        switch (outcome.kind) {
            case "durable":
                this.finish(batch);
                return true;
            case "not-written":
                this.retryLater(batch);
                return false;
            case "unknown":
                return false;
            case "occupied":
                // An occupant of a later position has replaced whatever was at ours.
                this.depose(
                    batch,
                    batch.mayBeWritten && outcome.occupant?.position !== batch.record.position,
                );
                return false;
            case "missing":
                this.depose(batch, batch.mayBeWritten);
                return false;
        }
    }

    private finish(batch: LogBatch<T>): void {
        this.batch = undefined;
        this.lastPosition = batch.record.position;
        this.counters.add("log.records");
        this.counters.add("log.transitions", batch.record.transitions.length);
        if (this.options.applies !== "replay") {
            batch.record.transitions.forEach(transition => this.options.state.apply(transition));
        }
        for (const append of batch.appends) {
            append.resolve(Ok(undefined));
        }
    }

    /** A batch of which no try can have taken effect goes back to the queue, where its appends may expire. */
    private retryLater(batch: LogBatch<T>): void {
        if (!batch.mayBeWritten) {
            this.batch = undefined;
            this.queue.putBack(batch.appends);
        }
    }

    private expire(): void {
        for (const append of this.queue.takeExpired(this.options.clock.nowMs())) {
            this.counters.add("log.expired");
            append.resolve(this.refusal(ResultCode.StoreUnavailable));
        }
    }

    private depose(batch: LogBatch<T>, isOutcomeUnknown: boolean): void {
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
