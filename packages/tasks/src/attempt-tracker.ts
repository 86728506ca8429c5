import type { Clock } from "@samphireward/core/clock";
import { TaskState } from "@samphireward/core/task-state";
import type { QuarantineTracker } from "@samphireward/placement/quarantine-tracker";
import { Attempt } from "./attempt.js";
import { attemptId } from "./attempt-id.js";
import { AttemptPhase } from "./attempt-phase.js";
import type { CellStatistics } from "./cell-statistics.js";
import type { CellState } from "./cell-state.js";
import { isSuspect } from "./is-suspect.js";
import { isActiveState } from "./is-active-state.js";
import type { LoadManager } from "./load-manager.js";
import type { Placer } from "./placer.js";
import type { OwnerContext } from "./owner-context.js";
import type { TaskRecord } from "./task-record.js";
import type { AttemptRef } from "./attempt-ref.js";
import type { Transition } from "./transition.js";
import type { WorkerEntry } from "./worker-entry.js";
import type { WorkerLink } from "./worker-link.js";
import type { WorkerSet } from "./worker-set.js";

/** Components of the owner that change together with the state. */
interface AttemptTrackerParts {
    readonly state: CellState;
    readonly workers: WorkerSet;
    readonly placer: Placer;
    readonly loadManager: LoadManager;
    readonly quarantine: QuarantineTracker;
    readonly statistics: CellStatistics;
    readonly owner: OwnerContext;
    readonly clock: Clock;
}

/** Updates attempts, reservations, quotas and the queue after each change of the cell's durable state. */
export class AttemptTracker {
    private constructor(private readonly parts: AttemptTrackerParts) {}

    static create(parts: AttemptTrackerParts): AttemptTracker {
        return new AttemptTracker(parts);
    }

    findLink(task: TaskRecord | undefined): WorkerLink | undefined {
        return task?.worker === undefined ? undefined : this.parts.workers.get(task.worker);
    }

    findAttempt(task: TaskRecord | undefined): Attempt | undefined {
        const attempt = task && this.findLink(task)?.attempts.get(task.spec.key);
        return attempt?.attempt === task?.attempt ? attempt : undefined;
    }

    /** Reserves capacity and records the start, before any command is sent. */
    recordStart(task: TaskRecord, entry: WorkerEntry): void {
        const ref = { key: task.spec.key, attempt: task.attempt + 1 };
        this.reserve(ref, task, entry.name);
        this.parts.owner.record({ kind: "starting", ...ref, worker: entry.name });
    }

    private reserve(ref: AttemptRef, task: TaskRecord, worker: string): void {
        const link = this.parts.workers.getOrCreate(worker);
        const { resources, pool } = task.spec;
        const interferenceClass = this.parts.placer.pool(pool)?.interferenceClass ?? "";
        link.entry.reserve(attemptId(ref), {
            resources,
            interferenceClass,
            pool,
            isSuspect: isSuspect(task.losses),
        });
        this.parts.loadManager.onReservationsChanged(link);
    }

    /** Rebuilds attempts, reservations and quotas from the state that an earlier owner recorded. */
    restoreActiveAttempts(): void {
        for (const task of this.parts.state.tasks.values()) {
            this.parts.placer.syncQueue(task.spec.key);
            if (!isActiveState(task.state) || task.worker === undefined) {
                continue;
            }
            const ref = { key: task.spec.key, attempt: task.attempt };
            this.reserve(ref, task, task.worker);
            const attempt = Attempt.create(ref, task.spec.resources, AttemptPhase.Inherited);
            attempt.isEvicting = task.state === TaskState.Checkpointing;
            this.parts.workers.getOrCreate(task.worker).add(attempt);
            this.parts.placer.chargeQuota(task);
        }
    }

    /** Starts the eviction of a running task. Returns false if the task cannot be evicted now. */
    evict(key: string): boolean {
        const task = this.parts.state.get(key);
        const attempt = this.findAttempt(task);
        const isRunning = task?.state === "running" && !task.cancelRequested;
        if (
            !isRunning ||
            attempt === undefined ||
            attempt.phase !== AttemptPhase.Live ||
            attempt.isEvicting
        ) {
            return false;
        }
        attempt.isEvicting = true;
        this.parts.owner.record({ kind: "checkpointing", ...attempt.ref });
        return true;
    }

    /**
     * Applies a durable transition to the state and to everything derived from it. Returns the affected
     * worker's link.
     */
    apply(transition: Transition): WorkerLink | undefined {
        const key = "key" in transition ? transition.key : undefined;
        const before = key === undefined ? undefined : this.parts.state.get(key);
        const worker = before?.worker;
        const stateBefore = before?.state;
        this.parts.state.apply(transition);
        if (before !== undefined && stateBefore !== undefined) {
            this.parts.statistics.count(transition, stateBefore, before, this.parts.owner.wallMs());
        }
        switch (transition.kind) {
            case "accepted":
                this.syncQueue(transition.spec.key);
                return undefined;
            case "starting":
                return this.applyStart(transition, transition.worker);
            case "released":
            case "finished":
            case "failed":
                return this.applyEnd(transition, worker);
            case "attempt-loss":
            case "given-up":
                this.syncQueue(transition.key);
                return undefined;
            case "cancelled":
                return this.applyCancellation(transition.key);
            case "worker-mode":
                this.parts.owner.onWorkerChanged();
                return undefined;
            case "running":
            case "checkpointing":
            case "forgotten":
                return undefined;
        }
    }

    private applyStart(ref: AttemptRef, worker: string): WorkerLink | undefined {
        const task = this.parts.state.get(ref.key);
        const link = this.parts.workers.get(worker);
        this.parts.placer.onStartApplied(ref.key);
        const isCurrent =
            task?.state === "starting" && task.attempt === ref.attempt && task.worker === worker;
        if (isCurrent && link !== undefined) {
            link.add(Attempt.create(ref, task.spec.resources, AttemptPhase.ToStart));
        } else {
            // An earlier transition in the log has already ended or cancelled the task.
            this.releaseCapacity(ref, worker);
            this.syncQueue(ref.key);
        }
        return link;
    }

    private applyEnd(
        transition: Transition & AttemptRef,
        worker: string | undefined,
    ): WorkerLink | undefined {
        const ref = { key: transition.key, attempt: transition.attempt };
        const link = worker === undefined ? undefined : this.parts.workers.get(worker);
        if (link?.attempts.get(ref.key)?.attempt === ref.attempt) {
            link.remove(ref);
            this.releaseCapacity(ref, link.entry.name);
            this.updateQuarantine(transition, link.entry.name);
        }
        this.syncQueue(ref.key);
        return link;
    }

    private updateQuarantine(transition: Transition & AttemptRef, worker: string): void {
        if (transition.kind === "failed") {
            this.parts.quarantine.recordFailure(worker, transition.key, this.parts.clock.nowMs());
        } else if (transition.kind === "finished") {
            this.parts.quarantine.recordSuccess(worker, transition.key);
        }
    }

    private applyCancellation(key: string): WorkerLink | undefined {
        const task = this.parts.state.get(key);
        const attempt = this.findAttempt(task);
        const link = this.findLink(task);
        if (attempt !== undefined && task?.cancelRequested === true) {
            link?.stop(attempt);
        }
        this.syncQueue(key);
        return link;
    }

    private releaseCapacity(ref: AttemptRef, worker: string): void {
        const link = this.parts.workers.get(worker);
        if (link !== undefined) {
            link.entry.release(attemptId(ref));
            this.parts.loadManager.onReservationsChanged(link);
        }
        this.parts.placer.releaseQuota(ref.key);
        this.parts.owner.onWorkerChanged();
    }

    private syncQueue(key: string): void {
        this.parts.placer.syncQueue(key);
        this.parts.owner.onWorkerChanged();
    }
}
