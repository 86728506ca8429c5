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

/** Jobs whose failures are remembered; the oldest are forgotten first, which bounds the memory. */
const MaxTrackedJobs = 10_000;

/**
 * Tells workers that fail everything from jobs that fail everywhere. A failure counts against the worker until
 * the same job fails on another worker; then it counts against the job, and the worker's evidence is withdrawn.
 * Time is passed in; an expired quarantine becomes a probation at the next call of `refresh`.
 */
export class QuarantineTracker {
    private readonly records = new Map<string, QuarantineRecord>();
    /** Workers on which a job failed. */
    private readonly failedWorkersByJob = new Map<string, Set<string>>();

    private constructor(private readonly settings: QuarantineSettings) {}

    static create(settings: Partial<QuarantineSettings> = {}): QuarantineTracker {
        return new QuarantineTracker({ ...defaults, ...settings });
    }

    /** Sets the cell's workers. Those that left are forgotten, so that a replacement starts without a history. */
    setWorkers(names: Iterable<string>): void {
        const present = new Set(names);
        for (const name of [...this.records.keys()].filter(name => !present.has(name))) {
            this.records.delete(name);
        }
        for (const name of present) {
            this.recordOf(name);
        }
    }

    /** Most workers that may be in automatic quarantine or on probation at once. */
    get maxQuarantined(): number {
        return Math.max(1, Math.floor(this.records.size * this.settings.maxQuarantinedShare));
    }

    health(worker: string): WorkerHealth {
        return this.records.get(worker)?.health ?? WorkerHealth.Normal;
    }

    /** Whether a further task may start on a worker that runs `runningTasks` tasks. */
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

    /** Moves expired quarantines to probation, and quarantines workers that waited for a place under the limit. */
    refresh(nowMs: number): void {
        for (const record of this.records.values()) {
            const expired = record.health === WorkerHealth.Quarantined && nowMs >= record.endsAtMs;
            if (expired && !record.isManual) {
                record.health = WorkerHealth.Probation;
                record.failedJobs.clear();
                record.succeededJobs.clear();
            }
        }
        const due = [...this.records.values()].sort((a, b) => b.failedJobs.size - a.failedJobs.size);
        due.forEach(record => this.quarantineIfDue(record, nowMs));
    }

    /** Operator's quarantine: not limited in number, and ends only by `release`. */
    quarantine(worker: string): void {
        const record = this.recordOf(worker);
        record.health = WorkerHealth.Quarantined;
        record.isManual = true;
        record.endsAtMs = Infinity;
    }

    /** Operator's release: the worker takes tasks again at once, without a probation. */
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
        const { initialQuarantineMs: quarantineMs, maxQuarantineMs } = this.settings;
        record.lastDurationMs =
            record.lastDurationMs === 0 ? quarantineMs : Math.min(maxQuarantineMs, record.lastDurationMs * 2);
        record.health = WorkerHealth.Quarantined;
        record.endsAtMs = nowMs + record.lastDurationMs;
        record.succeededJobs.clear();
    }

    /** The job failed on several workers: it is no evidence against any, and ends a quarantine it caused. */
    private clearJobFailures(job: string, workers: ReadonlySet<string>): void {
        for (const record of [...workers].map(name => this.recordOf(name))) {
            const counted = record.failedJobs.delete(job);
            const unfounded = record.lastDurationMs <= this.settings.initialQuarantineMs;
            const isAutomatic = record.health === WorkerHealth.Quarantined && !record.isManual;
            if (
                counted &&
                isAutomatic &&
                unfounded &&
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
