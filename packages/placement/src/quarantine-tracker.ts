import type { QuarantineRecord } from "./quarantine-record.js";
import type { QuarantineSettings } from "./quarantine-settings.js";
import { WorkerHealth } from "./worker-health.js";

const defaults: QuarantineSettings = {
    failureThreshold: 3,
    successThreshold: 3,
    maxQuarantinedShare: 0.1,
    initialQuarantineMs: 60_000,
    maxQuarantineMs: 30 * 60_000,
};

/** Most jobs whose failures are kept, which bounds the memory; those that failed least recently are removed first. */
const MaxTrackedJobs = 10_000;

/**
 * Distinguishes faulty workers from faulty jobs. A failure is attributed to the worker until the same job fails on
 * another worker; from then on it is attributed to the job and no longer counted for any worker. There are no
 * timers: an expired quarantine becomes a probation at the next call of `refresh`.
 */
export class QuarantineTracker {
    private readonly records = new Map<string, QuarantineRecord>();
    /** Workers on which each job failed. */
    private readonly failedWorkersByJob = new Map<string, Set<string>>();

    private constructor(private readonly settings: QuarantineSettings) {}

    static create(settings: Partial<QuarantineSettings> = {}): QuarantineTracker {
        return new QuarantineTracker({ ...defaults, ...settings });
    }

    /** Sets the cell's workers. Records of others are removed, so that a replacement starts without a history. */
    setWorkers(names: Iterable<string>): void {
        const present = new Set(names);
        for (const name of [...this.records.keys()].filter(name => !present.has(name))) {
            this.records.delete(name);
        }
        for (const name of present) {
            this.recordOf(name);
        }
    }

    /** With this many workers in quarantine or on probation, no other worker is quarantined automatically. */
    get maxQuarantined(): number {
        return Math.max(1, Math.floor(this.records.size * this.settings.maxQuarantinedShare));
    }

    health(worker: string): WorkerHealth {
        return this.records.get(worker)?.health ?? WorkerHealth.Normal;
    }

    /** Whether another task may start on a worker that runs `runningTasks` tasks: on probation, one at a time. */
    mayPlace(worker: string, runningTasks: number): boolean {
        const health = this.health(worker);
        return health === WorkerHealth.Normal || (health === WorkerHealth.Probation && runningTasks === 0);
    }

    recordFailure(worker: string, job: string, nowMs: number): void {
        const workers = this.failedWorkersOf(job);
        workers.add(worker);
        if (workers.size > 1) {
            this.clearJobFailures(job, workers);
            return;
        }
        const record = this.recordOf(worker);
        record.failedJobs.add(job);
        record.succeededJobs.clear();
        const failedProbation = record.health === WorkerHealth.Probation;
        if (failedProbation) {
            this.startQuarantine(record, nowMs);
        } else {
            this.quarantineIfDue(record, nowMs);
        }
    }

    recordSuccess(worker: string, job: string): void {
        const record = this.recordOf(worker);
        record.failedJobs.clear();
        if (record.health !== WorkerHealth.Probation) {
            return;
        }
        record.succeededJobs.add(job);
        if (record.succeededJobs.size >= this.settings.successThreshold) {
            this.reset(record);
        }
    }

    /** Moves workers with an expired quarantine to probation, and quarantines others that `maxQuarantined` exempted. */
    refresh(nowMs: number): void {
        for (const record of this.records.values()) {
            const hasExpired = record.health === WorkerHealth.Quarantined && nowMs >= record.endsAtMs;
            if (hasExpired && !record.isManual) {
                record.health = WorkerHealth.Probation;
                record.failedJobs.clear();
                record.succeededJobs.clear();
            }
        }
        const due = [...this.records.values()].sort((a, b) => b.failedJobs.size - a.failedJobs.size);
        due.forEach(record => this.quarantineIfDue(record, nowMs));
    }

    /** Quarantine by an operator: not subject to `maxQuarantined`, and ended only by `release`. */
    quarantine(worker: string): void {
        const record = this.recordOf(worker);
        record.health = WorkerHealth.Quarantined;
        record.isManual = true;
        record.endsAtMs = Infinity;
    }

    /** Release by an operator: the worker takes tasks again at once, without a probation. */
    release(worker: string): void {
        this.reset(this.recordOf(worker));
    }

    private quarantineIfDue(record: QuarantineRecord, nowMs: number): void {
        const due = record.failedJobs.size >= this.settings.failureThreshold;
        if (due && record.health === WorkerHealth.Normal && this.countNotNormal() < this.maxQuarantined) {
            this.startQuarantine(record, nowMs);
        }
    }

    private startQuarantine(record: QuarantineRecord, nowMs: number): void {
        const { initialQuarantineMs, maxQuarantineMs } = this.settings;
        record.lastDurationMs =
            record.lastDurationMs === 0
                ? initialQuarantineMs
                : Math.min(maxQuarantineMs, record.lastDurationMs * 2);
        record.health = WorkerHealth.Quarantined;
        record.endsAtMs = nowMs + record.lastDurationMs;
        record.succeededJobs.clear();
    }

    /** Stops counting a job that failed on several workers, and ends quarantines that it caused. */
    private clearJobFailures(job: string, workers: ReadonlySet<string>): void {
        for (const record of [...workers].map(name => this.recordOf(name))) {
            const wasCounted = record.failedJobs.delete(job);
            const isFirstQuarantine = record.lastDurationMs <= this.settings.initialQuarantineMs;
            const isAutomatic = record.health === WorkerHealth.Quarantined && !record.isManual;
            if (
                wasCounted &&
                isAutomatic &&
                isFirstQuarantine &&
                record.failedJobs.size < this.settings.failureThreshold
            ) {
                this.reset(record);
            }
        }
    }

    private countNotNormal(): number {
        let count = 0;
        for (const record of this.records.values()) {
            count += record.health === WorkerHealth.Normal ? 0 : 1;
        }
        return count;
    }

    private reset(record: QuarantineRecord): void {
        record.health = WorkerHealth.Normal;
        record.isManual = false;
        record.failedJobs.clear();
        record.succeededJobs.clear();
        record.lastDurationMs = 0;
    }

    private recordOf(worker: string): QuarantineRecord {
        let record = this.records.get(worker);
        if (record === undefined) {
            record = {
                health: WorkerHealth.Normal,
                isManual: false,
                failedJobs: new Set(),
                succeededJobs: new Set(),
                endsAtMs: 0,
                lastDurationMs: 0,
            };
            this.records.set(worker, record);
        }
        return record;
    }

    private failedWorkersOf(job: string): Set<string> {
        const workers = this.failedWorkersByJob.get(job) ?? new Set<string>();
        this.failedWorkersByJob.delete(job);
        this.failedWorkersByJob.set(job, workers);
        const oldest = this.failedWorkersByJob.keys().next().value;
        if (this.failedWorkersByJob.size > MaxTrackedJobs && oldest !== undefined) {
            this.failedWorkersByJob.delete(oldest);
        }
        return workers;
    }
}
