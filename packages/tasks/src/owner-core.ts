import type { CodedError } from "@samphireward/core/coded-error";
import { WorkClass } from "@samphireward/core/work-class";
import { QuarantineTracker } from "@samphireward/placement/quarantine-tracker";
import type { Result } from "ts-results-es";
import { Attempt } from "./attempt.js";
import { attemptId } from "./attempt-id.js";
import { AttemptPhase } from "./attempt-phase.js";
import type { CellState } from "./cell-state.js";
import { CommitQueue } from "./commit-queue.js";
import { defaultOwnerTiming } from "./default-owner-timing.js";
import { isActiveState } from "./is-active-state.js";
import type { OwnerOptions } from "./owner-options.js";
import type { OwnerTables } from "./owner-tables.js";
import type { OwnerTiming } from "./owner-timing.js";
import { LoadManager } from "./load-manager.js";
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
import type { WorkerUsage } from "./worker-usage.js";

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
    readonly load: LoadManager;
    readonly quarantine = QuarantineTracker.create();

    private readonly commits: CommitQueue;
    private deposedReason: string | undefined;
    private placementDueMs = 0;
    private forgetting = false;
    /** Workers with something to do after the batch that is being applied. */
    private readonly touched = new Set<WorkerLink>();

    private constructor(readonly options: OwnerOptions) {
        super();
        const { clock, log, machine, policy, tables } = options;
        this.state = machine.state;
        this.timing = { ...defaultOwnerTiming, ...options.timing };
        this.submissions = SubmissionQueue.create(clock, this.timing.submissionTimeoutMs);
        this.commits = CommitQueue.create(log, {
            lost: err => this.depose(err.message),
            idle: () => this.act(),
        });
        const link = (entry: WorkerEntry, client: Parameters<typeof WorkerLink.create>[1]): WorkerLink =>
            WorkerLink.create(entry, client, this, clock, this.timing);
        this.workers = WorkerSet.create({ connect: options.connect, link }, tables.serviceReserve);
        this.placer = Placer.create(policy, tables, {
            task: key => this.task(key),
            openEntries: () => this.openEntries(),
            entries: () => this.entries(),
            start: (task, entry) => this.grant(task, entry),
            makeRoom: task => this.load.makeRoom(task),
            evict: key => this.evict(key),
        });
        const cell = {
            links: () => this.workers.all,
            task: (key: string) => this.task(key),
            workClass: (task: TaskRecord) => this.workClass(task),
            interferenceClass: (task: TaskRecord) => this.interferenceClass(task),
            evict: (key: string) => this.evict(key),
        };
        this.load = LoadManager.create(cell, clock, options.learner, options.evictions);
        this.inherit();
        machine.onApply = transition => this.applyOne(transition);
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

    override record(transition: Transition, settled?: (result: Result<void, CodedError>) => void): void {
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

    override usageReported(worker: string, usage: WorkerUsage): void {
        const link = this.workers.get(worker);
        if (link !== undefined && this.active) {
            this.load.report(link, usage, this.placer.serviceObjectiveMs);
            this.flush();
        }
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
            this.record({ kind: "accepted", spec, wallMs }, result =>
                this.submissions.settle(spec.key, result),
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
        return [...this.workers.all].filter(link => !link.state.gone).map(link => link.entry);
    }

    private refreshOpen(link: WorkerLink): void {
        const { name, taskCount } = link.entry;
        const allowed = this.state.workerMode(name) === WorkerMode.Open;
        link.entry.open = link.state.usable && allowed && this.quarantine.mayPlace(name, taskCount);
    }

    /** Reserves the capacity and records the start before any command is sent. */
    private grant(task: TaskRecord, entry: WorkerEntry): void {
        const ref = { key: task.spec.key, attempt: task.attempt + 1 };
        this.reserve(ref, task, entry.name);
        this.record({ kind: "starting", ...ref, worker: entry.name });
    }

    private reserve(ref: TaskRef, task: TaskRecord, worker: string): void {
        const link = this.workers.getOrExpect(worker);
        const { resources, pool } = task.spec;
        const interferenceClass = this.interferenceClass(task);
        link.entry.reserve(attemptId(ref), { resources, interferenceClass, pool });
        this.load.compositionChanged(link);
    }

    /** Takes over what an earlier owner recorded. */
    private inherit(): void {
        for (const task of this.state.tasks.values()) {
            this.placer.sync(task.spec.key);
            if (!isActiveState(task.state) || task.worker === undefined) {
                continue;
            }
            const ref = { key: task.spec.key, attempt: task.attempt };
            this.reserve(ref, task, task.worker);
            this.workers
                .getOrExpect(task.worker)
                .add(Attempt.create(ref, task.spec.resources, AttemptPhase.Inherited));
            this.placer.adopt(task);
        }
    }

    private workClass(task: TaskRecord): WorkClass {
        return this.placer.pool(task.spec.pool)?.class ?? WorkClass.Batch;
    }

    private interferenceClass(task: TaskRecord): string {
        return this.placer.pool(task.spec.pool)?.interferenceClass ?? "";
    }

    /** Acts on what has just become durable. */
    private act(): void {
        if (!this.active) {
            return;
        }
        this.placeIfDue();
        for (const link of this.touched) {
            link.pump();
        }
        this.touched.clear();
        this.flush();
    }

    /** Applies a durable transition. */
    private applyOne(transition: Transition): void {
        const link = this.applyAndFollow(transition);
        if (link !== undefined) {
            this.touched.add(link);
        }
    }

    /** Returns the worker whose conversation the transition concerns. */
    private applyAndFollow(transition: Transition): WorkerLink | undefined {
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
        this.placer.grantApplied(ref.key);
        const applies = task?.state === "starting" && task.attempt === ref.attempt && task.worker === worker;
        if (applies && link !== undefined) {
            link.add(Attempt.create(ref, task.spec.resources, AttemptPhase.ToStart));
        } else {
            // A transition before it in the log has ended or cancelled the task.
            this.free(ref, worker);
            this.syncQueue(ref.key);
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
        const link = this.workers.get(worker);
        if (link !== undefined) {
            link.entry.release(attemptId(ref));
            this.load.compositionChanged(link);
        }
        this.placer.releaseQuota(ref.key);
        this.placementDueMs = 0;
    }

    private syncQueue(key: string): void {
        this.placer.sync(key);
        this.placementDueMs = 0;
    }
}
