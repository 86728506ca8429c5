import type { Clock } from "@samphireward/core/clock";
import type { CellLimits } from "./cell-limits.js";
import { maxLeaseDurationMs } from "./max-lease-duration-ms.js";
import type { WorkerEntry } from "./worker-entry.js";
import { workerKey } from "./worker-key.js";

/** Keys of the workers of the previous owner, and the remaining leases that differ from granted ones, by key. */
interface KnownLeases {
    readonly workerKeys: ReadonlySet<string>;
    readonly leasesMs: ReadonlyMap<string, number>;
}

/** What previous owners of a cell may have left running: on which workers, for which jobs, and until when. */
export class PreviousOwners {
    /**
     * Workers that a previous owner used and that have not listed their runs to this one, by key, with the monotonic time
     * at which their lease expires.
     */
    private readonly unreadLeaseEndsMs = new Map<string, number>();
    /** Inherited jobs, whose tasks may run on a worker in `unreadLeaseEndsMs`. */
    private readonly jobIds = new Set<string>();
    /** What is known of the leases on workers that were known before; undefined if nothing is. */
    private knownLeases: KnownLeases | undefined;
    private grantedLeaseMs: number;
    private isFirstOwner = false;

    private constructor(
        private readonly clock: Clock,
        private readonly limits: CellLimits,
    ) {
        this.grantedLeaseMs = limits.maxLeaseMs;
    }

    static create(clock: Clock, limits: CellLimits): PreviousOwners {
        return new PreviousOwners(clock, limits);
    }

    /** Records that there was no previous owner. */
    expectNone(): void {
        this.grantedLeaseMs = this.limits.leaseMs;
        this.knownLeases = undefined;
        this.isFirstOwner = true;
    }

    /**
     * Sets their workers, by key (`id/start time`), and the longest lease that they granted, in milliseconds. `leasesMs`
     * are the remaining leases that differ from that, by key; undefined if they are not known. A worker without one may
     * have started again and got a longer lease than was granted, so it is waited for by `extraWaitMs` more, up to the
     * longest lease.
     */
    expectWorkers(
        workerKeys: readonly string[],
        leaseMs = this.limits.maxLeaseMs,
        leasesMs?: ReadonlyMap<string, number>,
        extraWaitMs = 0,
    ): void {
        const nowMs = this.clock.nowMs();
        const { maxLeaseMs, lateOrderMs } = this.limits;
        // Workers shorten leases to their maximum, so a stored value above that says nothing.
        const grantedMs = Math.min(leaseMs, maxLeaseMs);
        const waitMs = Math.min(maxLeaseDurationMs(grantedMs) + extraWaitMs, maxLeaseDurationMs(maxLeaseMs));
        const longestMs = lateOrderMs + maxLeaseDurationMs(maxLeaseMs);
        for (const key of workerKeys) {
            const remainingMs = Math.min(leasesMs?.get(key) ?? waitMs, longestMs);
            this.unreadLeaseEndsMs.set(key, nowMs + remainingMs);
        }
        this.knownLeases = leasesMs && { workerKeys: new Set(workerKeys), leasesMs };
        this.grantedLeaseMs = workerKeys.length === 0 ? this.limits.leaseMs : grantedMs;
    }

    addJob(id: string): void {
        this.jobIds.add(id);
    }

    /** Whether tasks of a job may be running on a worker that has not listed its runs. */
    mayHaveRuns(job: string): boolean {
        return this.jobIds.has(job);
    }

    /** Workers that have not listed their runs, by key, with the monotonic time at which their lease expires. */
    get unreadWorkers(): ReadonlyMap<string, number> {
        return this.unreadLeaseEndsMs;
    }

    /** Longest lease that a previous owner may have granted, in milliseconds. */
    get leaseMs(): number {
        return this.grantedLeaseMs;
    }

    /**
     * Longest time for which a lease that this owner did not grant may last on a worker that lists its runs now, by this
     * process's clock. From the listing on the worker refuses the calls of previous owners, so it is the longest lease at
     * most. A worker that is not known from the previous owner may hold that one: a start that was sent to its earlier
     * incarnation carries a deadline by that one's clock, which the worker shortens to its maximum.
     */
    leaseAtFirstListingMs(key: string): number {
        const grantedMs = maxLeaseDurationMs(this.grantedLeaseMs);
        if (this.isFirstOwner) {
            return grantedMs;
        }
        const longestMs = maxLeaseDurationMs(this.limits.maxLeaseMs);
        const isKnown = this.knownLeases?.workerKeys.has(key) === true;
        const storedMs = isKnown ? (this.knownLeases?.leasesMs.get(key) ?? 0) : longestMs;
        return Math.max(grantedMs, Math.min(storedMs, longestMs));
    }

    /** Records that a worker has listed its runs or that this incarnation has ended. */
    noteRead(workerKey: string): void {
        this.unreadLeaseEndsMs.delete(workerKey);
    }

    /**
     * Records an incarnation of a worker, which has to list its runs in place of an earlier one, whose runs have ended. The
     * previous owner may have started runs there without knowing of it, by deadlines that are far ahead on its new clock.
     */
    noteIncarnation(entry: WorkerEntry): void {
        const { id, startedAtMs } = entry;
        for (const key of [...this.unreadLeaseEndsMs.keys()]) {
            if (key.startsWith(`${id}/`) && Number(key.slice(id.length + 1)) < startedAtMs) {
                this.unreadLeaseEndsMs.delete(key);
                const longestMs = maxLeaseDurationMs(this.limits.maxLeaseMs);
                this.unreadLeaseEndsMs.set(workerKey(entry), this.clock.nowMs() + longestMs);
            }
        }
    }

    /** Forgets workers whose leases have expired, and the jobs once no worker is left to read. */
    expire(nowMs: number): void {
        for (const [key, leaseEndsMs] of this.unreadLeaseEndsMs) {
            if (nowMs > leaseEndsMs + this.limits.stopMs) {
                this.unreadLeaseEndsMs.delete(key);
            }
        }
        if (this.unreadLeaseEndsMs.size === 0) {
            this.jobIds.clear();
        }
    }
}
