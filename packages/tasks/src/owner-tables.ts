import type { Pool } from "@samphireward/core/pool";
import type { Resources } from "@samphireward/core/resources";

/** The part of the operators' tables that a cell's owner uses. */
export interface OwnerTables {
    readonly pools: ReadonlyMap<string, Pool>;
    /** Quota of each team in this cell. Without quotas nothing is limited. */
    readonly quotas?: ReadonlyMap<string, Resources> | undefined;
    /** Capacity that each worker reserves for the services of the cell's data centre. */
    readonly serviceReserve: Resources;
    /** Objective for the service's p99 latency; a worker above it counts as overloaded. */
    readonly serviceObjectiveMs?: number | undefined;
}
