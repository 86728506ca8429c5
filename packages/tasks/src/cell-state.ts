import type { TaskSpec } from "@samphireward/core/task-spec";
import { TaskState } from "@samphireward/core/task-state";
import { applyLoss } from "./apply-loss.js";
import type { AttemptLoss } from "./attempt-loss.js";
import { describeCrashes } from "./describe-crashes.js";
import { hasFailedPermanently } from "./has-failed-permanently.js";
import { isActiveState } from "./is-active-state.js";
import { isWaitingState } from "./is-waiting-state.js";
import type { TaskRecord } from "./task-record.js";
import type { AttemptRef } from "./attempt-ref.js";
import type { Transition } from "./transition.js";
import { WorkerMode } from "./worker-mode.js";

/** Task record that is changed in place: a copy for each change would make mass cancellations slower. */
type MutableRecord = { -readonly [Field in keyof TaskRecord]: TaskRecord[Field] };

const noFailures: readonly string[] = [];
const noLosses: readonly AttemptLoss[] = [];

const newRecord = (spec: TaskSpec, wallMs: number): MutableRecord => ({
    spec,
    state: TaskState.Queued,
    attempt: 0,
    worker: undefined,
    checkpoint: undefined,
    failures: noFailures,
    losses: noLosses,
    cancelRequested: false,
    output: "",
    wallMs,
});

/**
 * The durable state of a cell: a pure function of the transitions applied so far. A transition that no longer
 * applies (another attempt, an ended task) is ignored, so repeated and late transitions are harmless.
 */
export class CellState {
    private readonly records = new Map<string, MutableRecord>();
    private readonly modes = new Map<string, WorkerMode>();
    /** Ended tasks in the order of their end. */
    private readonly endedKeys = new Set<string>();

    /** Keys that were cancelled before a task was accepted under them, and when; oldest first. */
    private readonly cancelledAtMs = new Map<string, number>();

    /** Tasks that have not ended and have losses. */
    private readonly lossyKeys = new Set<string>();

    private constructor() {}

    static create(): CellState {
        return new CellState();
    }

    /**
     * Builds the state from a decoded snapshot. Ended tasks are listed in the order of their end, tombstones in the order of
     * their cancellation.
     */
    static restore(
        records: Iterable<TaskRecord>,
        endedKeys: Iterable<string>,
        modes: Iterable<readonly [string, WorkerMode]>,
        tombstones: Iterable<readonly [string, number]> = [],
    ): CellState {
        const state = new CellState();
        for (const record of records) {
            state.records.set(record.spec.key, { ...record });
            state.updateLossy(record);
        }
        for (const key of endedKeys) {
            state.endedKeys.add(key);
            state.lossyKeys.delete(key);
        }
        for (const [worker, mode] of modes) {
            state.modes.set(worker, mode);
        }
        for (const [key, wallMs] of tombstones) {
            state.cancelledAtMs.set(key, wallMs);
        }
        return state;
    }

    get(key: string): TaskRecord | undefined {
        return this.records.get(key);
    }

    get tasks(): ReadonlyMap<string, TaskRecord> {
        return this.records;
    }

    get ended(): ReadonlySet<string> {
        return this.endedKeys;
    }

    /**
     * Keys that were cancelled before a task was accepted under them, with the wall-clock time in milliseconds, oldest
     * first. A submission that arrives afterwards is not accepted.
     */
    get tombstones(): ReadonlyMap<string, number> {
        return this.cancelledAtMs;
    }

    /** Tasks that have not ended and have losses; usually few. */
    get lossy(): ReadonlySet<string> {
        return this.lossyKeys;
    }

    /** Workers whose mode is not open. */
    get workerModes(): ReadonlyMap<string, WorkerMode> {
        return this.modes;
    }

    workerMode(worker: string): WorkerMode {
        return this.modes.get(worker) ?? WorkerMode.Open;
    }

    apply(transition: Transition): void {
        switch (transition.kind) {
            case "accepted":
                this.accept(transition.spec, transition.wallMs);
                return;
            case "starting":
                this.start(transition, transition.worker);
                return;
            case "running":
                this.advance(transition, TaskState.Starting, TaskState.Running);
                return;
            case "checkpointing":
                this.advance(transition, TaskState.Running, TaskState.Checkpointing);
                return;
            case "attempt-loss":
                this.applyLoss(transition);
                return;
            case "released":
                this.release(transition, transition.checkpoint, transition.wallMs);
                return;
            case "finished":
                this.finish(transition, transition.output, transition.wallMs);
                return;
            case "failed":
                this.fail(transition, transition.error, transition.wallMs);
                return;
            case "cancelled":
                this.cancel(transition.key, transition.wallMs);
                return;
            case "given-up":
                this.giveUp(transition.key, transition.wallMs);
                return;
            case "forgotten":
                this.forget(transition.keys);
                return;
            case "worker-mode":
                this.setMode(transition.worker, transition.mode);
                return;
        }
    }

    /** An owner that looks at tombstones records no submission that meets one; an earlier build may have accepted it. */
    private accept(spec: TaskSpec, wallMs: number): void {
        if (!this.records.has(spec.key)) {
            this.cancelledAtMs.delete(spec.key);
            this.records.set(spec.key, newRecord(spec, wallMs));
        }
    }

    private start(ref: AttemptRef, worker: string): void {
        const record = this.records.get(ref.key);
        if (record === undefined || !isWaitingState(record.state) || ref.attempt <= record.attempt) {
            return;
        }
        record.state = TaskState.Starting;
        record.attempt = ref.attempt;
        record.worker = worker;
    }

    private advance(ref: AttemptRef, from: TaskState, to: TaskState): void {
        const record = this.records.get(ref.key);
        if (record?.attempt === ref.attempt && record.state === from) {
            record.state = to;
        }
    }

    /** Returns the record if the attempt is the current one and still active. */
    private findActive(ref: AttemptRef): MutableRecord | undefined {
        const record = this.records.get(ref.key);
        return record?.attempt === ref.attempt && isActiveState(record.state) ? record : undefined;
    }

    private release(ref: AttemptRef, checkpoint: string | undefined, wallMs: number): void {
        const record = this.findActive(ref);
        if (record === undefined) {
            return;
        }
        record.checkpoint = checkpoint ?? record.checkpoint;
        this.requeue(record, wallMs);
    }

    /**
     * A finish is accepted while the attempt is active, and also after its lease has lapsed if no later
     * attempt was started: the work is done, and running it again would gain nothing.
     */
    private finish(ref: AttemptRef, output: string, wallMs: number): void {
        const record = this.records.get(ref.key);
        if (record?.attempt !== ref.attempt || this.endedKeys.has(ref.key)) {
            return;
        }
        // The caller was told that the task is cancelled; a finish that raced with the stop does not undo it.
        const state = record.cancelRequested ? TaskState.Cancelled : TaskState.Finished;
        record.output = record.cancelRequested ? "" : output;
        this.end(record, state, wallMs);
    }

    private fail(ref: AttemptRef, error: string, wallMs: number): void {
        const record = this.findActive(ref);
        if (record?.worker === undefined) {
            return;
        }
        record.failures = [...record.failures, record.worker];
        if (!record.cancelRequested && hasFailedPermanently(record.failures)) {
            record.output = error;
            this.end(record, TaskState.Failed, wallMs);
        } else {
            this.requeue(record, wallMs);
        }
    }

    private cancel(key: string, wallMs: number): void {
        const record = this.records.get(key);
        if (record === undefined) {
            // Deleted first, so that the map stays in the order of time.
            this.cancelledAtMs.delete(key);
            this.cancelledAtMs.set(key, wallMs);
            return;
        }
        if (this.endedKeys.has(key)) {
            return;
        }
        if (isActiveState(record.state)) {
            record.cancelRequested = true;
        } else {
            this.end(record, TaskState.Cancelled, wallMs);
        }
    }

    private applyLoss(loss: AttemptLoss & AttemptRef): void {
        const record = this.records.get(loss.key);
        if (record !== undefined && !this.endedKeys.has(loss.key)) {
            record.losses = applyLoss(record.losses, loss, this.findActive(loss) !== undefined);
            this.updateLossy(record);
        }
    }

    private updateLossy(record: TaskRecord): void {
        if (record.losses.length > 0) {
            this.lossyKeys.add(record.spec.key);
        } else {
            this.lossyKeys.delete(record.spec.key);
        }
    }

    private giveUp(key: string, wallMs: number): void {
        const record = this.records.get(key);
        if (record !== undefined && isWaitingState(record.state)) {
            record.output = describeCrashes(record.losses);
            this.end(record, TaskState.Failed, wallMs);
        }
    }

    private requeue(record: MutableRecord, wallMs: number): void {
        if (record.cancelRequested) {
            this.end(record, TaskState.Cancelled, wallMs);
            return;
        }
        record.state = record.checkpoint === undefined ? TaskState.Queued : TaskState.Evicted;
        record.worker = undefined;
    }

    private end(record: MutableRecord, state: TaskState, wallMs: number): void {
        record.state = state;
        record.worker = undefined;
        record.checkpoint = undefined;
        record.wallMs = wallMs;
        record.spec = { ...record.spec, payload: "" };
        this.endedKeys.add(record.spec.key);
        this.lossyKeys.delete(record.spec.key);
    }

    private forget(keys: readonly string[]): void {
        for (const key of keys) {
            this.cancelledAtMs.delete(key);
            if (this.endedKeys.delete(key)) {
                this.records.delete(key);
            }
        }
    }

    private setMode(worker: string, mode: WorkerMode): void {
        if (mode === WorkerMode.Open) {
            this.modes.delete(worker);
        } else {
            this.modes.set(worker, mode);
        }
    }
}
