import { Resources } from "@samphireward/core/resources";
import { WorkClass } from "@samphireward/core/work-class";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import type { QuotaReservation } from "./quota-reservation.js";
import type { QuotaUsage } from "./quota-usage.js";

/** Sums are rounded to millionths, so that fractions of a core leave no rounding error behind. */
const RoundingSteps = 1e6;

const rounded = (value: Resources): Resources =>
    Resources.create({
        processors: Math.round(value.processors * RoundingSteps) / RoundingSteps,
        memoryMb: Math.round(value.memoryMb * RoundingSteps) / RoundingSteps,
        accelerators: value.accelerators,
    });

/**
 * Quotas of the teams in processors, memory and accelerators, each held separately.
 *
 * Latency-critical work stays within its team's quota. Batch work may exceed it while the sum of all quotas
 * has room (borrowed quota). Work within quota takes borrowed quota back through `reclaim`. The sum in use
 * never exceeds the sum of the quotas through `reserve`; it can do so after `setQuotas` lowers them.
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

    /** Whether a task alone fits its team's quota; one that does not is refused at admission. */
    admits(team: string, resources: Resources): boolean {
        return resources.fitsIn(this.quotaOf(team));
    }

    /** Whether the task may start now, or the reason why it waits. */
    check(team: string, resources: Resources, workClass: WorkClass): Result<void, string> {
        const use = this.usage(team);
        const urgentAfter = rounded(use.urgent.plus(resources));
        if (workClass === WorkClass.LatencyCritical && !urgentAfter.fitsIn(this.quotaOf(team))) {
            return Err(`team ${team} has no quota left for latency-critical work`);
        }
        if (!rounded(this.inUse.plus(resources)).fitsIn(this.totalQuota)) {
            return Err(`the quota of all teams is in use`);
        }
        return Ok(undefined);
    }

    /** Counts a task until `release`. A key that is already counted stays as it is. */
    reserve(key: string, team: string, resources: Resources, workClass: WorkClass): Result<void, string> {
        if (this.reservations.has(key)) {
            return Ok(undefined);
        }
        return this.check(team, resources, workClass).map(() =>
            this.reserveUnchecked(key, team, resources, workClass),
        );
    }

    /** Counts a task that already runs (after a takeover), also when that exceeds a quota. */
    reserveUnchecked(key: string, team: string, resources: Resources, workClass: WorkClass): void {
        if (this.reservations.has(key)) {
            return;
        }
        this.reservations.set(key, { key, team, resources, workClass });
        this.addUsage(team, workClass, resources);
    }

    release(key: string): void {
        const holder = this.reservations.get(key);
        if (holder !== undefined) {
            this.reservations.delete(key);
            this.addUsage(holder.team, holder.workClass, holder.resources.scale(-1));
        }
    }

    /**
     * Batch tasks of teams above their quota whose release lets the task start: the newest first, other teams
     * before its own. Empty when the task may start now or is not entitled to take quota back.
     */
    planReclaim(team: string, resources: Resources, workClass: WorkClass): readonly string[] {
        if (!this.isWithinQuota(team, resources, workClass)) {
            return [];
        }
        let inUse = rounded(this.inUse.plus(resources));
        const above = new Map<string, Resources>();
        const keys: string[] = [];
        for (const holder of this.reclaimOrder(team)) {
            if (inUse.fitsIn(this.totalQuota)) {
                break;
            }
            const own = holder.team === team ? resources : Resources.none;
            const use = above.get(holder.team) ?? this.totalUsage(holder.team).plus(own);
            const helps = this.exceedsQuotaInShortResource(use, this.quotaOf(holder.team), inUse);
            if (helps && this.reducesShortage(holder.resources, inUse)) {
                above.set(holder.team, rounded(use.minus(holder.resources)));
                inUse = rounded(inUse.minus(holder.resources));
                keys.push(holder.key);
            }
        }
        return inUse.fitsIn(this.totalQuota) ? keys : [];
    }

    /** Work within the team's quota may take back; for urgent work only the team's urgent work counts. */
    private isWithinQuota(team: string, resources: Resources, workClass: WorkClass): boolean {
        const use = this.usage(team);
        const counted = workClass === WorkClass.LatencyCritical ? use.urgent : this.totalUsage(team);
        return rounded(counted.plus(resources)).fitsIn(this.quotaOf(team));
    }

    private reclaimOrder(team: string): QuotaReservation[] {
        const batch = [...this.reservations.values()].filter(holder => holder.workClass === WorkClass.Batch);
        const newestFirst = batch.reverse();
        return [
            ...newestFirst.filter(holder => holder.team !== team),
            ...newestFirst.filter(holder => holder.team === team),
        ];
    }

    /** Whether the team is above its quota in a resource of which the total is short. */
    private exceedsQuotaInShortResource(use: Resources, quota: Resources, inUse: Resources): boolean {
        return (
            (inUse.processors > this.totalQuota.processors && use.processors > quota.processors) ||
            (inUse.memoryMb > this.totalQuota.memoryMb && use.memoryMb > quota.memoryMb) ||
            (inUse.accelerators > this.totalQuota.accelerators && use.accelerators > quota.accelerators)
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
        const use = this.usage(team);
        return rounded(use.urgent.plus(use.batch));
    }

    private addUsage(team: string, workClass: WorkClass, change: Resources): void {
        const use = this.usage(team);
        const isUrgent = workClass === WorkClass.LatencyCritical;
        this.usageByTeam.set(team, {
            urgent: isUrgent ? rounded(use.urgent.plus(change)) : use.urgent,
            batch: isUrgent ? use.batch : rounded(use.batch.plus(change)),
        });
        this.inUse = rounded(this.inUse.plus(change));
    }
}
