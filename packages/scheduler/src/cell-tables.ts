import type { CellName } from "@samphireward/core/cell-name";
import type { Pool } from "@samphireward/core/pool";
import { Resources } from "@samphireward/core/resources";
import type { Tables } from "@samphireward/core/tables";
import type { OwnerTables } from "@samphireward/tasks/owner-tables";

const poolsOf = (tables: Tables, cell: CellName): Pool[] =>
    [...tables.pools.values()].filter(pool => pool.zones.includes(cell.dataCentre));

/**
 * Returns a cell's share of a team's quota, which is divided evenly over the cells that the team's pools
 * reach. Accelerators are divided as whole devices, because a fraction of one admits no task; the first cells
 * by name get the remainder.
 */
const quotaShare = (tables: Tables, cell: CellName, team: string, quota: Resources): Resources => {
    const pools = [...tables.pools.values()].filter(pool => pool.team === team);
    const cells = [...new Set(pools.flatMap(pool => tables.cellsOf(pool).map(String)))].sort();
    const index = cells.indexOf(String(cell));
    if (index < 0) {
        return Resources.none;
    }
    const remainder = quota.accelerators % cells.length;
    const accelerators = Math.floor(quota.accelerators / cells.length) + (index < remainder ? 1 : 0);
    const { processors, memoryMb } = quota.scale(1 / cells.length);
    return Resources.create({ processors, memoryMb, accelerators });
};

/** The part of the operators' tables that concerns one cell. */
export class CellTables {
    private constructor(
        readonly owner: OwnerTables,
        /** Slots and connections of each worker for requests; 0 when no service runs in the data centre. */
        readonly slotsPerWorker: number,
        readonly connectionsPerWorker: number,
    ) {}

    static create(tables: Tables, cell: CellName): CellTables {
        const pools = poolsOf(tables, cell);
        const services = pools.map(pool => pool.service).filter(service => service !== undefined);
        const serviceReserve = services.reduce((sum, { reserve }) => sum.plus(reserve), Resources.none);
        const quotas = [...tables.teamQuotas].map(([team, quota]): [string, Resources] => [
            team,
            quotaShare(tables, cell, team, quota),
        ]);
        return new CellTables(
            { pools: new Map(pools.map(pool => [pool.name, pool])), quotas: new Map(quotas), serviceReserve },
            services.reduce((sum, service) => sum + service.slotsPerWorker, 0),
            services.reduce((sum, service) => sum + service.connectionsPerWorker, 0),
        );
    }
}
