import { WorkClass } from "@samphireward/core/work-class";
import { QuarantineTracker } from "@samphireward/placement/quarantine-tracker";
import { Attempt } from "./attempt.js";
import { attemptId } from "./attempt-id.js";
import { AttemptPhase } from "./attempt-phase.js";
import { CellState } from "./cell-state.js";
import { CommitQueue } from "./commit-queue.js";
import { defaultOwnerTiming } from "./default-owner-timing.js";
import { isActiveState } from "./is-active-state.js";
import type { OwnerOptions } from "./owner-options.js";
import type { OwnerTables } from "./owner-tables.js";
import type { OwnerTiming } from "./owner-timing.js";
import { Placer } from "./placer.js";
import { Recorder } from "./recorder.js";
import { SubmissionQueue } from "./submission-queue.js";
import type { TaskRecord } from "./task-record.js";
import type { TaskRef } from "./task-ref.js";
import type { Transition } from "./transition.js";
import type { WorkerEntry } from "./worker-entry.js";
import { WorkerLink } from "./worker-link.js";
import { WorkerMode } from "./worker-mode.js";
import { WorkerSet } from "./worker-set.js";

/**
 * State and decisions of a cell's owner. The state changes only when a batch is durable; commands to workers
 * and answers to callers follow from the changed state, so that they never run ahead of the log.
 */
export class OwnerCore extends Recorder {
    readonly state: CellState;
    readonly timing: OwnerTiming;
    readonly workers: WorkerSet;
    readonly placer: Placer;
    readonly submissions: SubmissionQueue;
    readonly quarantine = QuarantineTracker.create();

    private readonly commits: CommitQueue;
    private deposedReason: string | undefined;
    private placementDueMs = 0;
    private forgetting = false;

    private constructor(readonly options: OwnerOptions) {
        super();
        const { clock, log, policy, tables } = options;
        this.state = options.state ?? CellState.create();
        this.timing = { ...defaultOwnerTiming, ...options.timing };
        this.submissions = SubmissionQueue.create(clock, this.timing.submissionTimeoutMs);
        this.commits = CommitQueue.create(log, {
            apply: transitions => this.applyBatch(transitions),
            lost: err => this.depose(err.message),
            idle: () => this.flush(),
        });
        const link = (entry: WorkerEntry, client: Parameters<typeof WorkerLink.create>[1]): WorkerLink =>
            WorkerLink.create(entry, client, this, clock, this.timing);
        this.workers = WorkerSet.create({ connect: options.connect, link }, tables.serviceReserve);
        this.placer = Placer.create(policy, tables, {
            task: key => this.task(key),
            openEntries: () => this.openEntries(),
            entries: () => this.entries(),
            start: (task, entry, interferenceClass) => this.grant(task, entry, interferenceClass),
            makeRoom: () => undefined,
        });
        this.inherit();
    }

    static create(options: OwnerOptions): OwnerCore {
        return new OwnerCore(options);
    }

    override get active(): boolean {
        return this.deposedReason === undefined;
    }

    override task(key: string): TaskRecord | undefined {
        return this.state.get(key);
    }

    override record(transition: Transition, settled?: (durable: boolean) => void): void {
        this.commits.push(transition, settled);
    }

    override depose(reason: string): void {
        if (this.deposedReason !== undefined) {
            return;
        }
        this.deposedReason = reason;
        this.submissions.refuseWaiting();
        this.commits.close();
        this.options.deposed?.(reason);
    }

    override mayGrant(): boolean {
        return this.active && this.options.mayGrant();
    }

    override wallMs(): number {
        return Math.round(this.options.clock.wallMs());
    }

    override workerChanged(): void {
        this.placementDueMs = 0;
    }

    setTables(tables: OwnerTables): void {
        this.placer.setTables(tables);
        this.workers.setServiceReserve(tables.serviceReserve);
        this.placementDueMs = 0;
    }

    /** Hands waiting submissions and transitions to the log, unless an append is under way. */
    flush(): void {
        if (!this.active || !this.commits.idle) {
            return;
        }
        const wallMs = this.wallMs();
        for (const spec of this.submissions.take()) {
            this.record({ kind: "accepted", spec, wallMs }, durable =>
                durable ? this.submissions.recorded(spec.key) : this.submissions.lost(spec.key),
            );
        }
        this.commits.flush();
    }

    /** Places waiting tasks when something has changed or the interval has passed. */
    placeIfDue(): void {
        const nowMs = this.options.clock.nowMs();
        if (nowMs < this.placementDueMs || !this.mayGrant()) {
            return;
        }
        this.placementDueMs = nowMs + this.timing.placementIntervalMs;
        this.quarantine.refresh(nowMs);
        this.placer.run(nowMs);
    }

    /** Drops records of ended tasks, one transition at a time. */
    forget(keys: readonly string[]): void {
        if (!this.forgetting) {
            this.forgetting = true;
            this.record({ kind: "forgotten", keys }, () => (this.forgetting = false));
        }
    }

    /** Starts the eviction of a running task. Returns whether it is one that can be evicted now. */
    evict(key: string): boolean {
        const task = this.state.get(key);
        const attempt = this.findAttempt(task);
        const runs = task?.state === "running" && !task.cancelRequested;
        if (!runs || attempt === undefined || attempt.phase !== AttemptPhase.Live || attempt.evicting) {
            return false;
        }
        attempt.evicting = true;
        this.record({ kind: "checkpointing", ...attempt.ref });
        return true;
    }

    findLink(task: TaskRecord | undefined): WorkerLink | undefined {
        return task?.worker === undefined ? undefined : this.workers.get(task.worker);
    }

    findAttempt(task: TaskRecord | undefined): Attempt | undefined {
        const attempt = task && this.findLink(task)?.attempts.get(task.spec.key);
        return attempt?.attempt === task?.attempt ? attempt : undefined;
    }

    private openEntries(): readonly WorkerEntry[] {
        const open: WorkerEntry[] = [];
        for (const link of this.workers.all) {
            this.refreshOpen(link);
            if (link.entry.open) {
                open.push(link.entry);
            }
        }
        return open;
    }

    private entries(): readonly WorkerEntry[] {
        return [...this.workers.all].filter(link => !link.gone).map(link => link.entry);
    }

    private refreshOpen(link: WorkerLink): void {
        const { name, taskCount } = link.entry;
        const allowed = this.state.workerMode(name) === WorkerMode.Open;
        link.entry.open = link.usable && allowed && this.quarantine.mayPlace(name, taskCount);
    }

    /** Reserves the capacity and records the start before any command is sent. */
    private grant(task: TaskRecord, entry: WorkerEntry, interferenceClass: string): void {
        const ref = { key: task.spec.key, attempt: task.attempt + 1 };
        entry.reserve(attemptId(ref), task.spec.resources, interferenceClass);
        this.record({ kind: "starting", ...ref, worker: entry.name });
    }

    /** Takes over what an earlier owner recorded. */
    private inherit(): void {
        for (const task of this.state.tasks.values()) {
            this.placer.sync(task.spec.key);
            if (!isActiveState(task.state) || task.worker === undefined) {
                continue;
            }
            const ref = { key: task.spec.key, attempt: task.attempt };
            const link = this.workers.getOrExpect(task.worker);
            link.entry.reserve(attemptId(ref), task.spec.resources, this.interferenceClass(task));
            link.add(Attempt.create(ref, task.spec.resources, AttemptPhase.Inherited));
            this.placer.adopt(task);
        }
    }

    private interferenceClass(task: TaskRecord): string {
        return this.placer.pool(task.spec.pool)?.interferenceClass ?? "";
    }

    private applyBatch(transitions: readonly Transition[]): void {
        const touched = new Set<WorkerLink>();
        for (const transition of transitions) {
            const link = this.applyOne(transition);
            if (link !== undefined) {
                touched.add(link);
            }
        }
        if (!this.active) {
            return;
        }
        this.placeIfDue();
        for (const link of touched) {
            link.pump();
        }
    }

    /** Applies a durable transition; returns the worker whose conversation it concerns. */
    private applyOne(transition: Transition): WorkerLink | undefined {
        const key = "key" in transition ? transition.key : undefined;
        const before = key === undefined ? undefined : this.state.get(key);
        const worker = before?.worker;
        this.state.apply(transition);
        switch (transition.kind) {
            case "accepted":
                this.syncQueue(transition.spec.key);
                return undefined;
            case "starting":
                return this.granted(transition, transition.worker);
            case "released":
            case "finished":
            case "failed":
                return this.ended(transition, worker);
            case "cancelled":
                return this.cancelled(transition.key);
            case "worker-mode":
                this.placementDueMs = 0;
                return undefined;
            case "running":
            case "checkpointing":
            case "forgotten":
                return undefined;
        }
    }

    private granted(ref: TaskRef, worker: string): WorkerLink | undefined {
        const task = this.state.get(ref.key);
        const link = this.workers.get(worker);
        if (task?.state === "starting" && task.attempt === ref.attempt && link !== undefined) {
            link.add(Attempt.create(ref, task.spec.resources, AttemptPhase.ToStart));
        } else {
            // A transition before it in the log has ended or cancelled the task.
            this.free(ref, worker);
        }
        return link;
    }

    private ended(transition: Transition & TaskRef, worker: string | undefined): WorkerLink | undefined {
        const ref = { key: transition.key, attempt: transition.attempt };
        const link = worker === undefined ? undefined : this.workers.get(worker);
        if (link?.attempts.get(ref.key)?.attempt === ref.attempt) {
            link.remove(ref);
            this.free(ref, link.entry.name);
            this.judge(transition, link.entry.name);
        }
        this.syncQueue(ref.key);
        return link;
    }

    private judge(transition: Transition & TaskRef, worker: string): void {
        if (transition.kind === "failed") {
            this.quarantine.recordFailure(worker, transition.key, this.options.clock.nowMs());
        } else if (transition.kind === "finished") {
            this.quarantine.recordSuccess(worker, transition.key);
        }
    }

    private cancelled(key: string): WorkerLink | undefined {
        const task = this.state.get(key);
        const attempt = this.findAttempt(task);
        const link = this.findLink(task);
        if (attempt !== undefined && task?.cancelRequested === true) {
            link?.stop(attempt);
        }
        this.syncQueue(key);
        return link;
    }

    private free(ref: TaskRef, worker: string): void {
        this.workers.get(worker)?.entry.release(attemptId(ref));
        this.placer.releaseQuota(ref.key);
        this.placementDueMs = 0;
    }

    private syncQueue(key: string): void {
        this.placer.sync(key);
        this.placementDueMs = 0;
    }

    /** Whether a task belongs to a latency-critical pool. */
    isUrgent(task: TaskRecord): boolean {
        return this.placer.pool(task.spec.pool)?.class === WorkClass.LatencyCritical;
    }
}
