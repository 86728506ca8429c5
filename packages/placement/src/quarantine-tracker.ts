import type { QuarantineRecord } from "./quarantine-record.js";
import type { QuarantineSettings } from "./quarantine-settings.js";
import { WorkerHealth } from "./worker-health.js";

const defaults: QuarantineSettings = {
    failureThreshold: 3,
    successThreshold: 3,
    maxShare: 0.1,
    quarantineMs: 60_000,
    maxQuarantineMs: 30 * 60_000,
};

/** Jobs whose failures are remembered; the oldest are forgotten first, which bounds the memory. */
const MaxJobs = 10_000;

/**
 * Tells workers that fail everything from jobs that fail everywhere. A failure counts against the worker until
 * the same job fails on another worker; then it counts against the job, and the worker's evidence is withdrawn.
 * Time is passed in; an expired quarantine becomes a probation at the next call of `refresh`.
 */
export class QuarantineTracker {
    private readonly records = new Map<string, QuarantineRecord>();
    /** Workers on which a job failed. */
    private readonly failures = new Map<string, Set<string>>();

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
    get limit(): number {
        return Math.max(1, Math.floor(this.records.size * this.settings.maxShare));
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
        const workers = this.failuresOf(job);
        workers.add(worker);
        if (workers.size > 1) {
            this.withdraw(job, workers);
            return;
        }
        const record = this.recordOf(worker);
        record.evidence.add(job);
        record.successes.clear();
        const failedProbation = record.health === WorkerHealth.Probation;
        if (failedProbation) {
            this.startQuarantine(record, nowMs);
        } else {
            this.quarantineIfDue(record, nowMs);
        }
    }

    recordSuccess(worker: string, job: string): void {
        const record = this.recordOf(worker);
        record.evidence.clear();
        if (record.health !== WorkerHealth.Probation) {
            return;
        }
        record.successes.add(job);
        if (record.successes.size >= this.settings.successThreshold) {
            this.reset(record);
        }
    }

    /** Moves expired quarantines to probation, and quarantines workers that waited for a place under the limit. */
    refresh(nowMs: number): void {
        for (const record of this.records.values()) {
            const expired = record.health === WorkerHealth.Quarantined && nowMs >= record.endsMs;
            if (expired && !record.manual) {
                record.health = WorkerHealth.Probation;
                record.evidence.clear();
                record.successes.clear();
            }
        }
        const due = [...this.records.values()].sort((a, b) => b.evidence.size - a.evidence.size);
        due.forEach(record => this.quarantineIfDue(record, nowMs));
    }

    /** Operator's quarantine: not limited in number, and ends only by `release`. */
    quarantine(worker: string): void {
        const record = this.recordOf(worker);
        record.health = WorkerHealth.Quarantined;
        record.manual = true;
        record.endsMs = Infinity;
    }

    /** Operator's release: the worker takes tasks again at once, without a probation. */
    release(worker: string): void {
        this.reset(this.recordOf(worker));
    }

    private quarantineIfDue(record: QuarantineRecord, nowMs: number): void {
        const due = record.evidence.size >= this.settings.failureThreshold;
        if (due && record.health === WorkerHealth.Normal && this.notNormal() < this.limit) {
            this.startQuarantine(record, nowMs);
        }
    }

    private startQuarantine(record: QuarantineRecord, nowMs: number): void {
        const { quarantineMs, maxQuarantineMs } = this.settings;
        record.lastMs = record.lastMs === 0 ? quarantineMs : Math.min(maxQuarantineMs, record.lastMs * 2);
        record.health = WorkerHealth.Quarantined;
        record.endsMs = nowMs + record.lastMs;
        record.successes.clear();
    }

    /** The job failed on several workers: it is no evidence against any, and ends a quarantine it caused. */
    private withdraw(job: string, workers: ReadonlySet<string>): void {
        for (const record of [...workers].map(name => this.recordOf(name))) {
            const counted = record.evidence.delete(job);
            const unfounded = record.lastMs <= this.settings.quarantineMs;
            const isAutomatic = record.health === WorkerHealth.Quarantined && !record.manual;
            if (
                counted &&
                isAutomatic &&
                unfounded &&
                record.evidence.size < this.settings.failureThreshold
            ) {
                this.reset(record);
            }
        }
    }

    private notNormal(): number {
        let count = 0;
        for (const record of this.records.values()) {
            count += record.health === WorkerHealth.Normal ? 0 : 1;
        }
        return count;
    }

    private reset(record: QuarantineRecord): void {
        record.health = WorkerHealth.Normal;
        record.manual = false;
        record.evidence.clear();
        record.successes.clear();
        record.lastMs = 0;
    }

    private recordOf(worker: string): QuarantineRecord {
        let record = this.records.get(worker);
        if (record === undefined) {
            record = {
                health: WorkerHealth.Normal,
                manual: false,
                evidence: new Set(),
                successes: new Set(),
                endsMs: 0,
                lastMs: 0,
            };
            this.records.set(worker, record);
        }
        return record;
    }

    private failuresOf(job: string): Set<string> {
        const workers = this.failures.get(job) ?? new Set<string>();
        this.failures.delete(job);
        this.failures.set(job, workers);
        const oldest = this.failures.keys().next().value;
        if (this.failures.size > MaxJobs && oldest !== undefined) {
            this.failures.delete(oldest);
        }
        return workers;
    }
}
