import type { CellLeases } from "./cell-leases.js";
import { maxLeaseDurationMs } from "./max-lease-duration-ms.js";
import type { PreviousOwners } from "./previous-owners.js";
import type { WorkerFleet } from "./worker-fleet.js";

/** The least remaining lease, in milliseconds: that of a worker whose lease is over but whose runs are not released. */
const MinLeaseMs = 1;

/**
 * Finds the workers whose leases do not end as if one of `grantedLeaseMs` had begun now. A worker that has not listed its
 * runs may hold any lease that its first listing would be taken to allow.
 */
export const computeCellLeases = (
    fleet: WorkerFleet,
    previousOwners: PreviousOwners,
    grantedLeaseMs: number,
    nowMs: number,
): CellLeases => {
    const grantedMs = maxLeaseDurationMs(grantedLeaseMs);
    const longMs = new Map<string, number>();
    const silentMs = new Map<string, number>();
    const add = (key: string, leaseMs: number, isSilent: boolean): void => {
        if (leaseMs > grantedMs) {
            longMs.set(key, Math.ceil(leaseMs));
        } else if (isSilent) {
            silentMs.set(key, Math.max(MinLeaseMs, Math.ceil(leaseMs)));
        }
    };
    const fleetKeys = new Set<string>();
    for (const worker of fleet.workers) {
        const { key, hasListedRuns, leaseEndsAtMs, isReachable } = worker;
        const unreadLeaseEndsMs = previousOwners.unreadWorkers.get(key);
        fleetKeys.add(key);
        if (hasListedRuns) {
            add(key, leaseEndsAtMs - nowMs, !isReachable && !worker.isEnded);
        } else if (unreadLeaseEndsMs !== undefined) {
            add(key, Math.max(unreadLeaseEndsMs, leaseEndsAtMs) - nowMs, true);
        } else {
            add(key, Math.max(leaseEndsAtMs - nowMs, previousOwners.leaseAtFirstListingMs(key)), false);
        }
    }
    for (const [key, leaseEndsMs] of previousOwners.unreadWorkers) {
        if (!fleetKeys.has(key)) {
            add(key, leaseEndsMs - nowMs, true);
        }
    }
    return { longMs, silentMs };
};
