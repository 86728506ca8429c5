import { Resources } from "@samphireward/core/resources";
import { WorkClass } from "@samphireward/core/work-class";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import type { QuotaHolder } from "./quota-holder.js";
import type { QuotaUse } from "./quota-use.js";

/** Sums are rounded to millionths, so that fractions of a core leave no rounding error behind. */
const Unit = 1e6;

const rounded = (value: Resources): Resources =>
    Resources.create({
        processors: Math.round(value.processors * Unit) / Unit,
        memoryMb: Math.round(value.memoryMb * Unit) / Unit,
        accelerators: value.accelerators,
    });

/**
 * Quotas of the teams in processors, memory and accelerators, each held separately.
 *
 * Latency-critical work stays within its team's quota. Batch work may exceed it while the sum of all quotas
 * has room (borrowed quota). Work within quota takes borrowed quota back through `reclaim`. The sum in use
 * never exceeds the sum of the quotas through `reserve`; it can do so after `setQuotas` lowers them.
 */
export class QuotaLedger {
    private readonly uses = new Map<string, QuotaUse>();
    private readonly holders = new Map<string, QuotaHolder>();
    private total = Resources.none;
    private inUse = Resources.none;

    private constructor(private quotas: ReadonlyMap<string, Resources>) {
        this.setQuotas(quotas);
    }

    static create(quotas: ReadonlyMap<string, Resources>): QuotaLedger {
        return new QuotaLedger(quotas);
    }

    setQuotas(quotas: ReadonlyMap<string, Resources>): void {
        this.quotas = quotas;
        this.total = rounded([...quotas.values()].reduce((sum, quota) => sum.plus(quota), Resources.none));
    }

    use(team: string): QuotaUse {
        return this.uses.get(team) ?? { urgent: Resources.none, batch: Resources.none };
    }

    /** Whether a task alone fits its team's quota; one that does not is refused at admission. */
    admits(team: string, resources: Resources): boolean {
        return resources.fitsIn(this.quotaOf(team));
    }

    /** Whether the task may start now, or the reason why it waits. */
    check(team: string, resources: Resources, workClass: WorkClass): Result<void, string> {
        const use = this.use(team);
        const urgentAfter = rounded(use.urgent.plus(resources));
        if (workClass === WorkClass.LatencyCritical && !urgentAfter.fitsIn(this.quotaOf(team))) {
            return Err(`team ${team} has no quota left for latency-critical work`);
        }
        if (!rounded(this.inUse.plus(resources)).fitsIn(this.total)) {
            return Err(`the quota of all teams is in use`);
        }
        return Ok(undefined);
    }

    /** Counts a task until `release`. A key that is already counted stays as it is. */
    reserve(key: string, team: string, resources: Resources, workClass: WorkClass): Result<void, string> {
        if (this.holders.has(key)) {
            return Ok(undefined);
        }
        return this.check(team, resources, workClass).map(() => this.adopt(key, team, resources, workClass));
    }

    /** Counts a task that already runs (after a takeover), also when that exceeds a quota. */
    adopt(key: string, team: string, resources: Resources, workClass: WorkClass): void {
        if (this.holders.has(key)) {
            return;
        }
        this.holders.set(key, { key, team, resources, workClass });
        this.count(team, workClass, resources);
    }

    release(key: string): void {
        const holder = this.holders.get(key);
        if (holder !== undefined) {
            this.holders.delete(key);
            this.count(holder.team, holder.workClass, holder.resources.scale(-1));
        }
    }

    /**
     * Batch tasks of teams above their quota whose release lets the task start: the newest first, other teams
     * before its own. Empty when the task may start now or is not entitled to take quota back.
     */
    reclaim(team: string, resources: Resources, workClass: WorkClass): readonly string[] {
        if (!this.isEntitled(team, resources, workClass)) {
            return [];
        }
        let inUse = rounded(this.inUse.plus(resources));
        const above = new Map<string, Resources>();
        const keys: string[] = [];
        for (const holder of this.reclaimOrder(team)) {
            if (inUse.fitsIn(this.total)) {
                break;
            }
            const own = holder.team === team ? resources : Resources.none;
            const use = above.get(holder.team) ?? this.sumOf(holder.team).plus(own);
            const helps = this.exceedsWhereNeeded(use, this.quotaOf(holder.team), inUse);
            if (helps && this.contributes(holder.resources, inUse)) {
                above.set(holder.team, rounded(use.minus(holder.resources)));
                inUse = rounded(inUse.minus(holder.resources));
                keys.push(holder.key);
            }
        }
        return inUse.fitsIn(this.total) ? keys : [];
    }

    /** Work within the team's quota may take back; for urgent work only the team's urgent work counts. */
    private isEntitled(team: string, resources: Resources, workClass: WorkClass): boolean {
        const use = this.use(team);
        const counted = workClass === WorkClass.LatencyCritical ? use.urgent : this.sumOf(team);
        return rounded(counted.plus(resources)).fitsIn(this.quotaOf(team));
    }

    private reclaimOrder(team: string): QuotaHolder[] {
        const batch = [...this.holders.values()].filter(holder => holder.workClass === WorkClass.Batch);
        const newestFirst = batch.reverse();
        return [
            ...newestFirst.filter(holder => holder.team !== team),
            ...newestFirst.filter(holder => holder.team === team),
        ];
    }

    /** Whether the team is above its quota in a resource of which the total is short. */
    private exceedsWhereNeeded(use: Resources, quota: Resources, inUse: Resources): boolean {
        return (
            (inUse.processors > this.total.processors && use.processors > quota.processors) ||
            (inUse.memoryMb > this.total.memoryMb && use.memoryMb > quota.memoryMb) ||
            (inUse.accelerators > this.total.accelerators && use.accelerators > quota.accelerators)
        );
    }

    private contributes(resources: Resources, inUse: Resources): boolean {
        return (
            (inUse.processors > this.total.processors && resources.processors > 0) ||
            (inUse.memoryMb > this.total.memoryMb && resources.memoryMb > 0) ||
            (inUse.accelerators > this.total.accelerators && resources.accelerators > 0)
        );
    }

    private quotaOf(team: string): Resources {
        return this.quotas.get(team) ?? Resources.none;
    }

    private sumOf(team: string): Resources {
        const use = this.use(team);
        return rounded(use.urgent.plus(use.batch));
    }

    private count(team: string, workClass: WorkClass, change: Resources): void {
        const use = this.use(team);
        const isUrgent = workClass === WorkClass.LatencyCritical;
        this.uses.set(team, {
            urgent: isUrgent ? rounded(use.urgent.plus(change)) : use.urgent,
            batch: isUrgent ? use.batch : rounded(use.batch.plus(change)),
        });
        this.inUse = rounded(this.inUse.plus(change));
    }
}
