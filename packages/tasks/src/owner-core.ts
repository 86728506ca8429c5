import type { CodedError } from "@samphireward/core/coded-error";
import { WorkClass } from "@samphireward/core/work-class";
import { QuarantineTracker } from "@samphireward/placement/quarantine-tracker";
import type { Result } from "ts-results-es";
import { AttemptTracker } from "./attempt-tracker.js";
import { CellStatistics } from "./cell-statistics.js";
import { CellState } from "./cell-state.js";
import { CommitQueue } from "./commit-queue.js";
import { defaultOwnerTiming } from "./default-owner-timing.js";
import type { OwnerOptions } from "./owner-options.js";
import type { OwnerTables } from "./owner-tables.js";
import type { OwnerTiming } from "./owner-timing.js";
import { LossJudge } from "./loss-judge.js";
import { LossRecorder } from "./loss-recorder.js";
import { LoadManager } from "./load-manager.js";
import { Placer } from "./placer.js";
import { OwnerContext } from "./owner-context.js";
import { SubmissionQueue } from "./submission-queue.js";
import type { TaskRecord } from "./task-record.js";
import type { Transition } from "./transition.js";
import type { WorkerEntry } from "./worker-entry.js";
import { WorkerLink } from "./worker-link.js";
import { WorkerMode } from "./worker-mode.js";
import { WorkerSet } from "./worker-set.js";
import type { WorkerUsage } from "./worker-usage.js";

/**
 * State and decisions of a cell's owner. The state changes only when a batch is durable; commands to workers
 * and answers to callers follow from the changed state, so that none is sent before its log record is
 * durable.
 */
export class OwnerCore extends OwnerContext {
    readonly state: CellState;
    readonly timing: OwnerTiming;
    readonly workers: WorkerSet;
    readonly placer: Placer;
    readonly submissions: SubmissionQueue;
    readonly loadManager: LoadManager;
    readonly attemptTracker: AttemptTracker;
    readonly lossRecorder: LossRecorder;
    readonly lossJudge: LossJudge;
    readonly quarantine = QuarantineTracker.create();
    readonly statistics = CellStatistics.create();

    private readonly commits: CommitQueue;
    private deposedReason: string | undefined;
    private placementDueMs = 0;
    private isForgetting = false;
    /** Links of workers that may make their next call after the batch that is being applied. */
    private readonly linksWithWork = new Set<WorkerLink>();

    private constructor(readonly options: OwnerOptions) {
        super();
        const { clock, log, policy, tables } = options;
        this.state = options.state ?? CellState.create();
        this.timing = { ...defaultOwnerTiming, ...options.timing };
        this.submissions = SubmissionQueue.create(clock, this.timing.submissionTimeoutMs);
        this.commits = CommitQueue.create(log, {
            apply: transition => this.applyTransition(transition),
            onOwnershipLost: err => this.depose(err.message),
            onIdle: () => this.processCommitted(),
        });
        const createLink = (
            entry: WorkerEntry,
            client: Parameters<typeof WorkerLink.create>[1],
        ): WorkerLink => WorkerLink.create(entry, client, this, clock, this.timing);
        const onRemoved = (name: string): void => this.loadManager.removeWorker(name);
        const factory = { createClient: options.createClient, createLink, onRemoved };
        this.workers = WorkerSet.create(factory, tables.serviceReserve);
        this.placer = Placer.create(policy, tables, {
            task: key => this.task(key),
            openEntries: () => this.openEntries(),
            entries: () => this.entries(),
            start: (task, entry) => this.attemptTracker.recordStart(task, entry),
            preemptFor: task => this.loadManager.preemptFor(task),
            evict: key => this.attemptTracker.evict(key),
        });
        const cell = {
            links: () => this.workers.all,
            task: (key: string) => this.task(key),
            workClass: (task: TaskRecord) => this.workClass(task),
            interferenceClass: (task: TaskRecord) => this.interferenceClass(task),
            evict: (key: string) => this.attemptTracker.evict(key),
        };
        this.loadManager = LoadManager.create(cell, clock, options.learner, options.evictionSettings);
        const { state, workers, placer, loadManager, quarantine, statistics } = this;
        const parts = { state, workers, placer, loadManager, quarantine, statistics, owner: this, clock };
        this.attemptTracker = AttemptTracker.create(parts);
        const nowMs = (): number => clock.nowMs();
        this.lossRecorder = LossRecorder.create({ state, workers, owner: this, nowMs });
        const recorder = this.lossRecorder;
        const isStartPending = (key: string): boolean => placer.isStartPending(key);
        this.lossJudge = LossJudge.create({ state, workers, recorder, owner: this, isStartPending, nowMs });
        this.attemptTracker.restoreActiveAttempts();
    }

    static create(options: OwnerOptions): OwnerCore {
        return new OwnerCore(options);
    }

    override get isActive(): boolean {
        return this.deposedReason === undefined;
    }

    override task(key: string): TaskRecord | undefined {
        return this.state.get(key);
    }

    override record(transition: Transition, onSettled?: (result: Result<void, CodedError>) => void): void {
        this.commits.push(transition, onSettled);
    }

    override depose(reason: string): void {
        if (this.deposedReason !== undefined) {
            return;
        }
        this.deposedReason = reason;
        this.submissions.refuseWaiting();
        this.commits.close();
        this.options.onDeposed?.(reason);
    }

    override mayGrant(): boolean {
        return this.isActive && this.options.mayGrant();
    }

    override wallMs(): number {
        return Math.round(this.options.clock.wallMs());
    }

    override handleUsageReport(worker: string, usage: WorkerUsage): void {
        const link = this.workers.get(worker);
        if (link !== undefined && this.isActive) {
            this.loadManager.handleUsageReport(link, usage, this.placer.serviceObjectiveMs);
            this.flush();
        }
    }

    override onWorkerChanged(): void {
        this.placementDueMs = 0;
    }

    setTables(tables: OwnerTables): void {
        this.placer.setTables(tables);
        this.workers.setServiceReserve(tables.serviceReserve);
        this.placementDueMs = 0;
    }

    /** Appends waiting submissions and transitions to the log, unless an append is in progress. */
    override flush(): void {
        if (!this.isActive || !this.commits.isIdle) {
            return;
        }
        const wallMs = this.wallMs();
        for (const spec of this.submissions.takeWaiting()) {
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
        this.placer.placeWaiting(nowMs);
    }

    /** Drops records of ended tasks, one transition at a time. */
    forgetTasks(keys: readonly string[]): void {
        if (keys.length > 0 && !this.isForgetting) {
            this.isForgetting = true;
            this.record({ kind: "forgotten", keys }, () => (this.isForgetting = false));
        }
    }

    /** Reads the workers as the next round would find them, and leaves their flags as the last round has set them. */
    readWorkers<T>(read: () => T): T {
        const entries = [...this.workers.all].map(({ entry }) => entry);
        const flags = entries.map(({ open, isWithdrawn }) => ({ open, isWithdrawn }));
        try {
            this.openEntries();
            return read();
        } finally {
            entries.forEach((entry, index) => Object.assign(entry, flags[index]));
        }
    }

    private openEntries(): readonly WorkerEntry[] {
        const open: WorkerEntry[] = [];
        for (const link of this.workers.all) {
            this.updateOpen(link);
            if (link.entry.open) {
                open.push(link.entry);
            }
        }
        return open;
    }

    private entries(): readonly WorkerEntry[] {
        return [...this.workers.all].filter(link => !link.state.isGone).map(link => link.entry);
    }

    private updateOpen(link: WorkerLink): void {
        const { name, taskCount } = link.entry;
        const allowed = this.state.workerMode(name) === WorkerMode.Open;
        link.entry.isWithdrawn = link.state.isLeaving || !allowed;
        link.entry.open = link.state.isUsable && allowed && this.quarantine.mayPlace(name, taskCount);
        link.entry.open &&= !this.lossJudge.isUndecided(name);
    }

    private workClass(task: TaskRecord): WorkClass {
        return this.placer.pool(task.spec.pool)?.class ?? WorkClass.Batch;
    }

    private interferenceClass(task: TaskRecord): string {
        return this.placer.pool(task.spec.pool)?.interferenceClass ?? "";
    }

    /** Continues with the work that a durable batch has made possible: placement and calls to workers. */
    private processCommitted(): void {
        if (!this.isActive) {
            return;
        }
        this.placeIfDue();
        for (const link of this.linksWithWork) {
            link.startNextCall();
        }
        this.linksWithWork.clear();
        this.flush();
    }

    /** Applies a durable transition. */
    private applyTransition(transition: Transition): void {
        const link = this.attemptTracker.apply(transition);
        if (link !== undefined) {
            this.linksWithWork.add(link);
        }
    }
}
