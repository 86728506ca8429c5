import type { Pool } from "@samphireward/core/pool";
import type { Resources } from "@samphireward/core/resources";

/** What a cell's owner needs of the operators' tables. */
export interface OwnerTables {
    readonly pools: ReadonlyMap<string, Pool>;
    /** Quota of each team in this cell. Without quotas nothing is limited. */
    readonly quotas?: ReadonlyMap<string, Resources> | undefined;
    /** What each worker sets aside for the services of the cell's data centre. */
    readonly serviceReserve: Resources;
    /** Latency that the service's p99 should keep; a worker above it counts as overloaded. */
    readonly serviceObjectiveMs?: number | undefined;
}
