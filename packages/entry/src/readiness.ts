import type { Pool } from "@samphireward/core/pool";
import type { Tables } from "@samphireward/core/tables";
import type { ShareRegistry } from "@samphireward/routing/share-registry";

/**
 * Part of the planned slots that a started process waits for. With fewer, it would get its whole part of the
 * callers at once and let requests wait past their deadlines until the other processes have given up slots.
 */
const MinHeldPart = 0.5;

/** Whether the balancer may send callers to this entry process, as far as its shares decide that. */
export class Readiness {
    /** Pools whose part was held once. Later losses are no reason to leave: other processes lose them as well. */
    private readonly settled = new Set<string>();

    private constructor(private readonly shares: ShareRegistry) {}

    static create(shares: ShareRegistry): Readiness {
        return new Readiness(shares);
    }

    /** Each pool that answers requests has a target, and had enough slots once. */
    isReady(tables: Tables | undefined): boolean {
        if (tables === undefined) {
            return false;
        }
        const routes = [...tables.routes.values()].filter(route => route.kind === "request");
        return [...new Set(routes.map(route => route.pool))].every(name => {
            const pool = tables.pools.get(name);
            return pool !== undefined && this.hasTargets(pool, tables) && this.isSettled(name, pool);
        });
    }

    private hasTargets(pool: Pool, tables: Tables): boolean {
        return this.shares.targetsOf(pool, tables).some(({ slots, leaving }) => slots > 0 && !leaving);
    }

    private isSettled(name: string, pool: Pool): boolean {
        if (!this.settled.has(name) && this.shares.heldRatio(pool) >= MinHeldPart) {
            this.settled.add(name);
        }
        return this.settled.has(name);
    }
}
