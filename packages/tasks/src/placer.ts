import type { Pool } from "@samphireward/core/pool";
import type { Resources } from "@samphireward/core/resources";
import { WorkClass } from "@samphireward/core/work-class";
import type { PlacementPolicy } from "@samphireward/placement/placement-policy";
import type { QueuedTask } from "@samphireward/placement/queued-task";
import { QuotaTracker } from "@samphireward/placement/quota-tracker";
import { TaskQueue } from "@samphireward/placement/task-queue";
import type { CellWorkers } from "./cell-workers.js";
import { isStartHeld } from "./is-start-held.js";
import { isSuspect } from "./is-suspect.js";
import { isWaitingState } from "./is-waiting-state.js";
import type { OwnerTables } from "./owner-tables.js";
import type { PlacementPreview } from "./placement-preview.js";
import { previewPlacement } from "./preview-placement.js";
import type { TaskRecord } from "./task-record.js";
import type { WorkerEntry } from "./worker-entry.js";
import { WorkerChooser } from "./worker-chooser.js";
import { WorkerHolds } from "./worker-holds.js";

/** Operations of the cell's owner that the placer uses. */
interface PlacerCell extends CellWorkers {
    readonly task: (key: string) => TaskRecord | undefined;
    /** Reserves capacity and records the start. */
    readonly start: (task: TaskRecord, entry: WorkerEntry) => void;
    /**
     * Frees capacity for an urgent task that fits nowhere. Returns the worker on which capacity is being
     * freed, if any.
     */
    readonly preemptFor: (task: QueuedTask) => WorkerEntry | undefined;
    /** Evicts a running task; returns false when that is not possible now. */
    readonly evict: (key: string) => boolean;
}

/** Limit on the starts of one placement round, so that a round stays short; the rest waits for the next one. */
const MaxStartsPerRound = 200;

/** Chooses workers for waiting tasks, in the order of `TaskQueue` and within the teams' quotas. */
export class Placer {
    private readonly queue = TaskQueue.create();
    private quotas: QuotaTracker | undefined;
    /** Tasks whose start is queued for the log. They must not be placed again before it is applied. */
    private readonly pendingStarts = new Set<string>();
    private readonly reasons = new Map<string, string>();
    private readonly holds = WorkerHolds.create(this.queue);
    private readonly chooser: WorkerChooser;

    private constructor(
        policy: PlacementPolicy,
        private tables: OwnerTables,
        private readonly cell: PlacerCell,
    ) {
        this.chooser = WorkerChooser.create(policy, cell);
        this.setTables(tables);
    }

    static create(policy: PlacementPolicy, tables: OwnerTables, cell: PlacerCell): Placer {
        return new Placer(policy, tables, cell);
    }

    get waitingCount(): number {
        return this.queue.size;
    }

    setTables(tables: OwnerTables): void {
        this.tables = tables;
        if (tables.quotas === undefined) {
            this.quotas = undefined;
        } else if (this.quotas === undefined) {
            this.quotas = QuotaTracker.create(tables.quotas);
        } else {
            this.quotas.setQuotas(tables.quotas);
        }
    }

    get serviceObjectiveMs(): number | undefined {
        return this.tables.serviceObjectiveMs;
    }

    pool(name: string): Pool | undefined {
        return this.tables.pools.get(name);
    }

    /** Whether a task alone fits its team's quota. */
    admits(pool: Pool, resources: Resources): boolean {
        return this.quotas?.admits(pool.team, resources) ?? true;
    }

    /** Whether the start of a task is queued for the log. */
    isStartPending(key: string): boolean {
        return this.pendingStarts.has(key);
    }

    /** Must be called once the start of a task is applied. */
    onStartApplied(key: string): void {
        this.pendingStarts.delete(key);
    }

    /** Adds a task to the queue or removes it, according to its record. */
    syncQueue(key: string): void {
        const task = this.cell.task(key);
        if (this.pendingStarts.has(key)) {
            return;
        }
        const isWaiting = task !== undefined && isWaitingState(task.state);
        if (!isWaiting || isStartHeld(task.losses)) {
            this.remove(key);
        }
        if (isWaiting && isStartHeld(task.losses)) {
            const workers = task.losses.map(({ worker }) => worker).join(", ");
            this.reasons.set(key, `waits until it is known whether it crashed ${workers}`);
        } else if (isWaiting) {
            this.enqueue(task);
        }
    }

    /** How the next round would treat a task that was accepted now; changes nothing. */
    preview(task: TaskRecord, nowMs: number): PlacementPreview {
        const { queue, quotas, chooser, cell } = this;
        return previewPlacement(
            this.toQueued(task),
            task,
            { queue, quotas, chooser, task: cell.task },
            nowMs,
        );
    }

    private remove(key: string): void {
        this.queue.remove(key);
        this.reasons.delete(key);
        this.holds.release(key);
    }

    /** Queues a task. One whose blame has changed is queued again, among its like. */
    private enqueue(task: TaskRecord): void {
        const queued = this.toQueued(task);
        if (this.queue.get(queued.key)?.isSuspect !== queued.isSuspect) {
            this.remove(queued.key);
        }
        this.queue.add(queued);
    }

    /** Charges a task that an earlier owner started to its team's quota. */
    chargeQuota(task: TaskRecord): void {
        const pool = this.pool(task.spec.pool);
        const workClass = pool?.class ?? WorkClass.Batch;
        this.quotas?.reserveUnchecked(task.spec.key, pool?.team ?? "", task.spec.resources, workClass);
    }

    releaseQuota(key: string): void {
        this.quotas?.release(key);
    }

    /** Returns the reason why a task waits. */
    waitReason(key: string): string {
        return this.reasons.get(key) ?? "waits for its turn";
    }

    /** Starts waiting tasks, up to the limit of one round. */
    placeWaiting(nowMs: number): void {
        this.holdWorkerForFirstBlocked(nowMs);
        for (let starts = 0; starts < MaxStartsPerRound;) {
            const placed = this.placeSubQueueHeads(nowMs);
            if (placed === 0) {
                return;
            }
            starts += placed;
        }
    }

    /** Tries the oldest task of each sub-queue; returns how many were started. */
    private placeSubQueueHeads(nowMs: number): number {
        let placed = 0;
        for (const task of this.queue.candidates(nowMs)) {
            if (this.queue.mayStart(task, nowMs) && this.place(task, nowMs)) {
                placed += 1;
            }
        }
        return placed;
    }

    private place(task: QueuedTask, nowMs: number): boolean {
        const record = this.cell.task(task.key);
        if (record === undefined) {
            return false;
        }
        const quota = this.quotas?.check(task.team, task.resources, task.workClass);
        if (quota?.isErr() === true) {
            this.reasons.set(task.key, quota.error);
            const borrowed = this.quotas?.planReclaim(task.team, task.resources, task.workClass) ?? [];
            borrowed.forEach(key => this.cell.evict(key));
            return false;
        }
        const choice = this.chooser.choose(task, record, this.holds.get(task.key));
        if (choice.isErr()) {
            this.reasons.set(task.key, choice.error);
        }
        const entry = choice.unwrapOr(undefined);
        if (entry === undefined) {
            if (!task.isSuspect || this.chooser.hasWorkerFor(task)) {
                this.handleBlocked(task, nowMs);
            }
            return false;
        }
        this.quotas?.reserveUnchecked(task.key, task.team, task.resources, task.workClass);
        this.pendingStarts.add(task.key);
        this.queue.remove(task.key);
        this.holds.release(task.key);
        this.reasons.delete(task.key);
        this.cell.start(record, entry);
        return true;
    }

    private handleBlocked(task: QueuedTask, nowMs: number): void {
        this.queue.markBlocked(task.key, nowMs);
        if (task.workClass === WorkClass.LatencyCritical && this.holds.get(task.key) === undefined) {
            const entry = this.cell.preemptFor(task);
            if (entry !== undefined) {
                this.holds.hold(task, entry);
                this.reasons.set(task.key, `room is being made on worker ${entry.name}`);
            }
        }
    }

    /** Keeps the least reserved suitable worker free for the first task that has waited too long. */
    private holdWorkerForFirstBlocked(nowMs: number): void {
        this.holds.releaseUnsuitable(this.cell.entries());
        const task = this.queue.taskToHoldFor(nowMs);
        if (task === undefined) {
            return;
        }
        let best: WorkerEntry | undefined;
        for (const entry of this.cell.openEntries()) {
            const suits = entry.open && entry.heldFor === undefined && entry.fitsWhenEmpty(task.resources);
            if (suits && (best === undefined || entry.reserved.processors < best.reserved.processors)) {
                best = entry;
            }
        }
        // If no worker is suitable, later tasks may pass this one, because holding them back would gain
        // nothing.
        this.queue.hold(task.key, true);
        if (best !== undefined) {
            this.holds.hold(task, best);
        }
    }

    private toQueued(task: TaskRecord): QueuedTask {
        const pool = this.pool(task.spec.pool);
        return {
            key: task.spec.key,
            team: pool?.team ?? "",
            workClass: pool?.class ?? WorkClass.Batch,
            interferenceClass: pool?.interferenceClass ?? "",
            resources: task.spec.resources,
            expectedRunMs: task.spec.expectedRunMs,
            submittedAtMs: task.wallMs,
            isSuspect: isSuspect(task.losses),
        };
    }
}
