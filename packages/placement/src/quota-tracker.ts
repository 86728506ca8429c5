import { Resources } from "@samphireward/core/resources";
import { WorkClass } from "@samphireward/core/work-class";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import type { QuotaReservation } from "./quota-reservation.js";
import type { QuotaUsage } from "./quota-usage.js";

/** Sums are rounded to millionths, so that floating-point errors of fractional processors do not accumulate. */
const RoundingSteps = 1e6;

const rounded = (value: Resources): Resources =>
    Resources.create({
        processors: Math.round(value.processors * RoundingSteps) / RoundingSteps,
        memoryMb: Math.round(value.memoryMb * RoundingSteps) / RoundingSteps,
        accelerators: value.accelerators,
    });

/**
 * Tracks the quotas of the teams and their usage; processors, memory and accelerators are limited separately.
 *
 * Latency-critical work stays within its team's quota. Batch work may exceed it (borrowed quota) as long as the
 * sum of all quotas is not exceeded. Work within its team's quota takes borrowed quota back with `planReclaim`.
 * `reserve` never lets the usage exceed the sum of the quotas, but `reserveUnchecked` can, and so can lower quotas
 * set by `setQuotas`.
 */
export class QuotaTracker {
    private readonly usageByTeam = new Map<string, QuotaUsage>();
    private readonly reservations = new Map<string, QuotaReservation>();
    private totalQuota = Resources.none;
    private inUse = Resources.none;

    private constructor(private quotas: ReadonlyMap<string, Resources>) {
        this.setQuotas(quotas);
    }

    static create(quotas: ReadonlyMap<string, Resources>): QuotaTracker {
        return new QuotaTracker(quotas);
    }

    setQuotas(quotas: ReadonlyMap<string, Resources>): void {
        this.quotas = quotas;
        this.totalQuota = rounded(
            [...quotas.values()].reduce((sum, quota) => sum.plus(quota), Resources.none),
        );
    }

    usage(team: string): QuotaUsage {
        return this.usageByTeam.get(team) ?? { urgent: Resources.none, batch: Resources.none };
    }

    /** Whether the task alone fits its team's quota. A task that does not is rejected at admission. */
    admits(team: string, resources: Resources): boolean {
        return resources.fitsIn(this.quotaOf(team));
    }

    /** Ok if the task may start now; otherwise the reason why it waits. */
    check(team: string, resources: Resources, workClass: WorkClass): Result<void, string> {
        const usage = this.usage(team);
        const urgentAfter = rounded(usage.urgent.plus(resources));
        if (workClass === WorkClass.LatencyCritical && !urgentAfter.fitsIn(this.quotaOf(team))) {
            return Err(`team ${team} has no quota left for latency-critical work`);
        }
        if (!rounded(this.inUse.plus(resources)).fitsIn(this.totalQuota)) {
            return Err(`the quota of all teams is in use`);
        }
        return Ok(undefined);
    }

    /** Reserves quota for a task until `release`. An existing reservation of the key is kept as it is. */
    reserve(key: string, team: string, resources: Resources, workClass: WorkClass): Result<void, string> {
        if (this.reservations.has(key)) {
            return Ok(undefined);
        }
        return this.check(team, resources, workClass).map(() =>
            this.reserveUnchecked(key, team, resources, workClass),
        );
    }

    /** Reserves quota for a task that runs already (after a takeover), even if this exceeds a quota. */
    reserveUnchecked(key: string, team: string, resources: Resources, workClass: WorkClass): void {
        if (this.reservations.has(key)) {
            return;
        }
        this.reservations.set(key, { key, team, resources, workClass });
        this.addUsage(team, workClass, resources);
    }

    release(key: string): void {
        const reservation = this.reservations.get(key);
        if (reservation !== undefined) {
            this.reservations.delete(key);
            this.addUsage(reservation.team, reservation.workClass, reservation.resources.scale(-1));
        }
    }

    /**
     * Keys of batch tasks to release so that the task can start: tasks of teams above their quota, those of other
     * teams first and the newest first. Empty if the task may start now, if it would itself exceed its team's quota,
     * or if these releases do not suffice.
     */
    planReclaim(team: string, resources: Resources, workClass: WorkClass): readonly string[] {
        if (!this.isWithinQuota(team, resources, workClass)) {
            return [];
        }
        let inUse = rounded(this.inUse.plus(resources));
        const remainingUsage = new Map<string, Resources>();
        const keys: string[] = [];
        for (const reservation of this.reclaimOrder(team)) {
            if (inUse.fitsIn(this.totalQuota)) {
                break;
            }
            const requested = reservation.team === team ? resources : Resources.none;
            const usage =
                remainingUsage.get(reservation.team) ?? this.totalUsage(reservation.team).plus(requested);
            const isAboveQuota = this.exceedsQuotaInShortResource(
                usage,
                this.quotaOf(reservation.team),
                inUse,
            );
            if (isAboveQuota && this.reducesShortage(reservation.resources, inUse)) {
                remainingUsage.set(reservation.team, rounded(usage.minus(reservation.resources)));
                inUse = rounded(inUse.minus(reservation.resources));
                keys.push(reservation.key);
            }
        }
        return inUse.fitsIn(this.totalQuota) ? keys : [];
    }

    /** Whether the task fits its team's quota; for an urgent task, only the team's urgent work counts. */
    private isWithinQuota(team: string, resources: Resources, workClass: WorkClass): boolean {
        const usage = this.usage(team);
        const countedUsage = workClass === WorkClass.LatencyCritical ? usage.urgent : this.totalUsage(team);
        return rounded(countedUsage.plus(resources)).fitsIn(this.quotaOf(team));
    }

    private reclaimOrder(team: string): QuotaReservation[] {
        const batch = [...this.reservations.values()].filter(
            reservation => reservation.workClass === WorkClass.Batch,
        );
        const newestFirst = batch.reverse();
        return [
            ...newestFirst.filter(reservation => reservation.team !== team),
            ...newestFirst.filter(reservation => reservation.team === team),
        ];
    }

    /** Whether the team exceeds its quota in a resource in which the sum of all quotas is exceeded. */
    private exceedsQuotaInShortResource(usage: Resources, quota: Resources, inUse: Resources): boolean {
        return (
            (inUse.processors > this.totalQuota.processors && usage.processors > quota.processors) ||
            (inUse.memoryMb > this.totalQuota.memoryMb && usage.memoryMb > quota.memoryMb) ||
            (inUse.accelerators > this.totalQuota.accelerators && usage.accelerators > quota.accelerators)
        );
    }

    private reducesShortage(resources: Resources, inUse: Resources): boolean {
        return (
            (inUse.processors > this.totalQuota.processors && resources.processors > 0) ||
            (inUse.memoryMb > this.totalQuota.memoryMb && resources.memoryMb > 0) ||
            (inUse.accelerators > this.totalQuota.accelerators && resources.accelerators > 0)
        );
    }

    private quotaOf(team: string): Resources {
        return this.quotas.get(team) ?? Resources.none;
    }

    private totalUsage(team: string): Resources {
        const usage = this.usage(team);
        return rounded(usage.urgent.plus(usage.batch));
    }

    private addUsage(team: string, workClass: WorkClass, delta: Resources): void {
        const usage = this.usage(team);
        const isUrgent = workClass === WorkClass.LatencyCritical;
        this.usageByTeam.set(team, {
            urgent: isUrgent ? rounded(usage.urgent.plus(delta)) : usage.urgent,
            batch: isUrgent ? usage.batch : rounded(usage.batch.plus(delta)),
        });
        this.inUse = rounded(this.inUse.plus(delta));
    }
}
