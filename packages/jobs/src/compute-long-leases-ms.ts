import { maxLeaseDurationMs } from "./max-lease-duration-ms.js";
import type { PreviousOwners } from "./previous-owners.js";
import type { WorkerFleet } from "./worker-fleet.js";

/**
 * Remaining leases, in milliseconds and by worker key, that may last longer than a lease of `grantedLeaseMs` that begins
 * now. A worker that has not listed its runs may hold any lease that its first listing would be taken to allow.
 */
export const computeLongLeasesMs = (
    fleet: WorkerFleet,
    previousOwners: PreviousOwners,
    grantedLeaseMs: number,
    nowMs: number,
): ReadonlyMap<string, number> => {
    const leasesMs = new Map<string, number>();
    for (const [key, untilMs] of previousOwners.unreadWorkers) {
        leasesMs.set(key, untilMs - nowMs);
    }
    for (const { key, hasListedRuns, leaseEndsAtMs } of fleet.workers) {
        const unlistedMs = hasListedRuns ? 0 : previousOwners.leaseAtFirstListingMs(key);
        leasesMs.set(key, Math.max(leaseEndsAtMs - nowMs, unlistedMs, leasesMs.get(key) ?? 0));
    }
    const grantedMs = maxLeaseDurationMs(grantedLeaseMs);
    const long = [...leasesMs].filter(([, leaseMs]) => leaseMs > grantedMs);
    return new Map(long.map(([key, leaseMs]) => [key, Math.ceil(leaseMs)]));
};
