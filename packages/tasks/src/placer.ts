import type { Pool } from "@samphireward/core/pool";
import type { Resources } from "@samphireward/core/resources";
import { WorkClass } from "@samphireward/core/work-class";
import type { PlacementPolicy } from "@samphireward/placement/placement-policy";
import type { QueuedTask } from "@samphireward/placement/queued-task";
import { QuotaLedger } from "@samphireward/placement/quota-ledger";
import { TaskQueue } from "@samphireward/placement/task-queue";
import { isWaitingState } from "./is-waiting-state.js";
import type { OwnerTables } from "./owner-tables.js";
import type { TaskRecord } from "./task-record.js";
import type { WorkerEntry } from "./worker-entry.js";
import { WorkerHolds } from "./worker-holds.js";

/** What the placer asks of the cell's owner. */
interface Cell {
    readonly task: (key: string) => TaskRecord | undefined;
    /** Workers that may take tasks now; `open` of each entry is up to date. */
    readonly openEntries: () => readonly WorkerEntry[];
    /** Every worker that is not gone, to tell a task that waits for space from one that waits for a worker. */
    readonly entries: () => readonly WorkerEntry[];
    /** Reserves and records the start. */
    readonly start: (task: TaskRecord, entry: WorkerEntry) => void;
    /** An urgent task has no room. Returns the worker on which room is being made, if any. */
    readonly makeRoom: (task: QueuedTask) => WorkerEntry | undefined;
    /** Moves a running task away; returns false when that is not possible now. */
    readonly evict: (key: string) => boolean;
}

/** Starts decided in one round; the rest waits for the next one, so that a round stays short. */
const MaxStartsPerRound = 200;

const emptySet: ReadonlySet<string> = new Set();

/** Chooses workers for waiting tasks, in the order of `TaskQueue` and within the teams' quotas. */
export class Placer {
    private readonly queue = TaskQueue.create();
    private quotas: QuotaLedger | undefined;
    /** Tasks whose start waits for the log. They must not be placed again before it is applied. */
    private readonly granted = new Set<string>();
    private readonly reasons = new Map<string, string>();
    private readonly holds = WorkerHolds.create(this.queue);

    private constructor(
        private readonly policy: PlacementPolicy,
        private tables: OwnerTables,
        private readonly cell: Cell,
    ) {
        this.setTables(tables);
    }

    static create(policy: PlacementPolicy, tables: OwnerTables, cell: Cell): Placer {
        return new Placer(policy, tables, cell);
    }

    get waiting(): number {
        return this.queue.size;
    }

    setTables(tables: OwnerTables): void {
        this.tables = tables;
        if (tables.quotas === undefined) {
            this.quotas = undefined;
        } else if (this.quotas === undefined) {
            this.quotas = QuotaLedger.create(tables.quotas);
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

    /** The start of a task is applied. */
    grantApplied(key: string): void {
        this.granted.delete(key);
    }

    /** Makes the queue agree with a task's record. */
    sync(key: string): void {
        const task = this.cell.task(key);
        if (this.granted.has(key)) {
            return;
        }
        if (task === undefined || !isWaitingState(task.state)) {
            this.queue.remove(key);
            this.reasons.delete(key);
            this.holds.release(key);
        } else if (!this.queue.has(key)) {
            this.queue.add(this.toQueued(task));
        }
    }

    /** Counts a task that an earlier owner started. */
    adopt(task: TaskRecord): void {
        const pool = this.pool(task.spec.pool);
        const workClass = pool?.class ?? WorkClass.Batch;
        this.quotas?.adopt(task.spec.key, pool?.team ?? "", task.spec.resources, workClass);
    }

    releaseQuota(key: string): void {
        this.quotas?.release(key);
    }

    /** Why a waiting task waits. */
    reason(key: string): string {
        return this.reasons.get(key) ?? "waits for its turn";
    }

    /** Places what can be placed now. */
    run(nowMs: number): void {
        this.holdWorker(nowMs);
        for (let starts = 0; starts < MaxStartsPerRound;) {
            const placed = this.placeHeads(nowMs);
            if (placed === 0) {
                return;
            }
            starts += placed;
        }
    }

    /** Tries the oldest task of each lane; returns how many were started. */
    private placeHeads(nowMs: number): number {
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
            const borrowed = this.quotas?.reclaim(task.team, task.resources, task.workClass) ?? [];
            borrowed.forEach(key => this.cell.evict(key));
            return false;
        }
        const entry = this.choose(task, record);
        if (entry === undefined) {
            this.block(task, nowMs);
            return false;
        }
        this.quotas?.adopt(task.key, task.team, task.resources, task.workClass);
        this.granted.add(task.key);
        this.queue.remove(task.key);
        this.holds.release(task.key);
        this.reasons.delete(task.key);
        this.cell.start(record, entry);
        return true;
    }

    private choose(task: QueuedTask, record: TaskRecord): WorkerEntry | undefined {
        const { key, resources, interferenceClass, workClass } = task;
        const held = this.holds.get(key);
        const open = this.cell
            .openEntries()
            .filter(entry => entry.open && (entry.heldFor === undefined || entry === held));
        const request = {
            key,
            resources,
            interferenceClass,
            workClass,
            avoid: this.avoid(record),
            rackCounts: this.rackCounts(task, record.spec.pool),
        };
        const decision = this.policy.choose(request, open);
        if (decision.isErr()) {
            this.reasons.set(key, this.explain(record, decision.error));
            return undefined;
        }
        const entry = open.find(({ name }) => name === decision.value);
        return entry?.fits(resources) === true ? entry : undefined;
    }

    /** Workers on which the task failed, unless no other worker could hold it. */
    private avoid(record: TaskRecord): ReadonlySet<string> {
        if (record.failures.length === 0) {
            return emptySet;
        }
        const failed = new Set(record.failures);
        const others = this.cell
            .entries()
            .some(entry => !failed.has(entry.name) && entry.couldHold(record.spec.resources));
        return others ? failed : emptySet;
    }

    /** Tasks of the pool in each rack; only latency-critical work is spread by it. */
    private rackCounts(task: QueuedTask, pool: string): ReadonlyMap<string, number> {
        const counts = new Map<string, number>();
        for (const entry of task.workClass === WorkClass.LatencyCritical ? this.cell.entries() : []) {
            counts.set(entry.rack, (counts.get(entry.rack) ?? 0) + (entry.poolCounts.get(pool) ?? 0));
        }
        return counts;
    }

    private explain(record: TaskRecord, reason: string): string {
        const failed = record.failures.length === 0 ? "" : `failed on ${record.failures.join(", ")}; `;
        const couldHold = this.cell.entries().some(entry => entry.couldHold(record.spec.resources));
        return couldHold ? `${failed}${reason}` : `${failed}no worker of the cell is large enough now`;
    }

    private block(task: QueuedTask, nowMs: number): void {
        this.queue.markBlocked(task.key, nowMs);
        if (task.workClass === WorkClass.LatencyCritical && this.holds.get(task.key) === undefined) {
            const entry = this.cell.makeRoom(task);
            if (entry !== undefined) {
                this.holds.hold(task.key, entry);
                this.reasons.set(task.key, `room is being made on worker ${entry.name}`);
            }
        }
    }

    /** Keeps the emptiest suitable worker free for the first task that has waited too long. */
    private holdWorker(nowMs: number): void {
        this.holds.releaseOthers(this.cell.entries());
        const task = this.queue.taskToHoldFor(nowMs);
        if (task === undefined) {
            return;
        }
        let best: WorkerEntry | undefined;
        for (const entry of this.cell.openEntries()) {
            const suits = entry.open && entry.heldFor === undefined && entry.couldHold(task.resources);
            if (suits && (best === undefined || entry.reserved.processors < best.reserved.processors)) {
                best = entry;
            }
        }
        // Without a suitable worker the others pass, because holding them back would gain nothing.
        this.queue.hold(task.key, true);
        if (best !== undefined) {
            this.holds.hold(task.key, best);
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
            submittedMs: task.wallMs,
        };
    }
}
