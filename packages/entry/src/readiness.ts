import type { Pool } from "@samphireward/core/pool";
import type { Tables } from "@samphireward/core/tables";
import type { ShareRegistry } from "@samphireward/routing/share-registry";

/**
 * Ratio of its planned slots that a started process must hold before it is ready. With fewer slots it would receive
 * its whole part of the callers at once and let requests wait past their deadlines until the other processes have
 * released slots.
 */
const MinHeldRatio = 0.5;

/** Decides from the slot shares whether the balancer may send callers to this entry process. */
export class Readiness {
    /**
     * Pools for which `MinHeldRatio` was reached once. A later loss of slots doesn't make the process unready, since
     * other processes lose them as well.
     */
    private readonly sufficientPools = new Set<string>();

    private constructor(private readonly shares: ShareRegistry) {}

    static create(shares: ShareRegistry): Readiness {
        return new Readiness(shares);
    }

    /** Whether each pool that serves requests has a target and has reached `MinHeldRatio` once. */
    isReady(tables: Tables | undefined): boolean {
        if (tables === undefined) {
            return false;
        }
        const routes = [...tables.routes.values()].filter(route => route.kind === "request");
        return [...new Set(routes.map(route => route.pool))].every(name => {
            const pool = tables.pools.get(name);
            return pool !== undefined && this.hasTargets(pool, tables) && this.hasHeldEnough(name, pool);
        });
    }

    private hasTargets(pool: Pool, tables: Tables): boolean {
        return this.shares.targetsOf(pool, tables).some(({ slots, leaving }) => slots > 0 && !leaving);
    }

    private hasHeldEnough(name: string, pool: Pool): boolean {
        if (!this.sufficientPools.has(name) && this.shares.heldRatio(pool) >= MinHeldRatio) {
            this.sufficientPools.add(name);
        }
        return this.sufficientPools.has(name);
    }
}
