import type { Clock } from "@samphireward/core/clock";
import type { CellLimits } from "./cell-limits.js";
import { maxLeaseDurationMs } from "./max-lease-duration-ms.js";
import type { WorkerEntry } from "./worker-entry.js";

/** What previous owners of a cell may have left running: on which workers, for which jobs, and until when. */
export class PreviousOwners {
    /** Keys of the workers that a previous owner used and that have not listed their runs to this one. */
    private readonly unreadKeys = new Set<string>();
    /** Inherited jobs, whose tasks may run on a worker in `unreadKeys`. */
    private readonly jobIds = new Set<string>();
    private leasesEndAtMs = 0;
    private grantedLeaseMs: number;

    private constructor(
        private readonly clock: Clock,
        private readonly limits: CellLimits,
    ) {
        this.grantedLeaseMs = limits.maxLeaseMs;
    }

    static create(clock: Clock, limits: CellLimits): PreviousOwners {
        return new PreviousOwners(clock, limits);
    }

    /** Sets their workers, by key (`id/start time`), and the longest lease that they granted, in milliseconds. */
    expectWorkers(workerKeys: readonly string[], leaseMs = this.limits.maxLeaseMs): void {
        workerKeys.forEach(workerKey => this.unreadKeys.add(workerKey));
        this.grantedLeaseMs = workerKeys.length === 0 ? this.limits.leaseMs : leaseMs;
        this.leasesEndAtMs = this.clock.nowMs() + maxLeaseDurationMs(leaseMs) + this.limits.stopMs;
    }

    addJob(id: string): void {
        this.jobIds.add(id);
    }

    /** Whether tasks of a job may be running on a worker that has not listed its runs. */
    mayHaveRuns(job: string): boolean {
        return this.jobIds.has(job);
    }

    /** Keys of the workers that have not listed their runs. */
    get unreadWorkerKeys(): ReadonlySet<string> {
        return this.unreadKeys;
    }

    /** Longest lease that a previous owner may have granted, in milliseconds. */
    get leaseMs(): number {
        return this.grantedLeaseMs;
    }

    /** Records that a worker has listed its runs or that this incarnation has ended. */
    noteRead(workerKey: string): void {
        this.unreadKeys.delete(workerKey);
    }

    /** Records an incarnation of a worker: the runs of its earlier incarnations have ended. */
    noteIncarnation({ id, startedAtMs }: WorkerEntry): void {
        for (const key of this.unreadKeys) {
            if (key.startsWith(`${id}/`) && Number(key.slice(id.length + 1)) < startedAtMs) {
                this.unreadKeys.delete(key);
            }
        }
    }

    /** Forgets workers whose leases have expired, and the jobs once no worker is left to read. */
    expire(nowMs: number): void {
        if (nowMs > this.leasesEndAtMs) {
            this.unreadKeys.clear();
        }
        if (this.unreadKeys.size === 0) {
            this.jobIds.clear();
        }
    }
}
