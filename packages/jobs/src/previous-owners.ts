import type { Clock } from "@samphireward/core/clock";
import type { CellLimits } from "./cell-limits.js";
import { maxLeaseDurationMs } from "./max-lease-duration-ms.js";

/** What earlier owners of a cell may have left running: on which workers, for which jobs, and for how long. */
export class PreviousOwners {
    /** Lives that an earlier owner used and that have not listed their runs to this one. */
    private readonly unread = new Set<string>();
    /** Jobs taken over: their tasks may run on a worker that is in `unread`. */
    private readonly jobs = new Set<string>();
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

    /** Names their workers, as `id/born`, and the longest lease that they granted, in milliseconds. */
    expectWorkers(lives: readonly string[], leaseMs = this.limits.maxLeaseMs): void {
        lives.forEach(life => this.unread.add(life));
        this.grantedLeaseMs = lives.length === 0 ? this.limits.leaseMs : leaseMs;
        this.leasesEndAtMs = this.clock.nowMs() + maxLeaseDurationMs(leaseMs) + this.limits.stopMs;
    }

    addJob(id: string): void {
        this.jobs.add(id);
    }

    /** Whether tasks of a job may run on a worker that has not been read. */
    mayHaveRuns(job: string): boolean {
        return this.jobs.has(job);
    }

    /** Workers that have not been read. */
    get unreadWorkerKeys(): ReadonlySet<string> {
        return this.unread;
    }

    /** Longest lease that an earlier owner may have granted, in milliseconds. */
    get leaseMs(): number {
        return this.grantedLeaseMs;
    }

    /** A worker has listed its runs, or its life is over. */
    noteRead(life: string): void {
        this.unread.delete(life);
    }

    /** A worker has started anew: what ran in its other lives has ended. */
    noteNewIncarnation(id: string, life: string): void {
        for (const key of this.unread) {
            if (key.startsWith(`${id}/`) && key !== life) {
                this.unread.delete(key);
            }
        }
    }

    /** Forgets workers whose leases are over, and the jobs once no worker is left to read. */
    expire(nowMs: number): void {
        if (nowMs > this.leasesEndAtMs) {
            this.unread.clear();
        }
        if (this.unread.size === 0) {
            this.jobs.clear();
        }
    }
}
