import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import * as Schema from "effect/Schema";
import { CellName } from "./cell-name.js";
import { checkTableReferences } from "./check-table-references.js";
import { decodeToml } from "./decode-toml.js";
import type { Link } from "./link.js";
import type { Pool } from "./pool.js";
import { rendezvousPick } from "./rendezvous-pick.js";
import { Resources } from "./resources.js";
import type { Route } from "./route.js";
import type { TableProblem } from "./table-problem.js";
import { TablesSchema } from "./tables-schema.js";
import type { Zone } from "./zone.js";

const { routes, ...poolsFileFields } = TablesSchema.fields;
const RoutesFileSchema = Schema.Struct({ routes });
const PoolsFileSchema = Schema.Struct(poolsFileFields);

const withNames = <T>(
    rows: Readonly<Record<string, T>>,
): ReadonlyMap<string, T & { readonly name: string }> =>
    new Map(Object.entries(rows).map(([name, row]) => [name, { ...row, name }]));

/** The routes and pools tables that operators maintain, validated together. Immutable. */
export class Tables {
    private constructor(
        readonly routes: ReadonlyMap<string, Route>,
        readonly pools: ReadonlyMap<string, Pool>,
        readonly zones: ReadonlyMap<string, Zone>,
        readonly links: ReadonlyMap<string, Link>,
        readonly teamQuotas: ReadonlyMap<string, Resources>,
    ) {}

    /**
     * Parses and validates both TOML files. Returns all problems; references between the rows are checked only when
     * both files match their schemas.
     */
    static create(routesText: string, poolsText: string): Result<Tables, TableProblem[]> {
        const routesFile = decodeToml("routes", routesText, RoutesFileSchema);
        const poolsFile = decodeToml("pools", poolsText, PoolsFileSchema);
        if (routesFile.isErr() || poolsFile.isErr()) {
            return Err([
                ...(routesFile.isErr() ? routesFile.error : []),
                ...(poolsFile.isErr() ? poolsFile.error : []),
            ]);
        }
        const content = { ...routesFile.value, ...poolsFile.value };
        const problems = checkTableReferences(content);
        return problems.length > 0 ? Err(problems) : Ok(Tables.fromContent(content));
    }

    private static fromContent(content: (typeof TablesSchema)["Type"]): Tables {
        const zones = Object.entries(content.zones).map(([name, zone]): [string, Zone] => [
            name,
            { dataCentre: name, region: zone.region, cells: zone.cells },
        ]);
        const quotas = Object.entries(content.teams).map(([name, team]): [string, Resources] => [
            name,
            Resources.create(team.quota),
        ]);
        return new Tables(
            withNames(content.routes),
            withNames(content.pools),
            new Map(zones),
            withNames(content.links),
            new Map(quotas),
        );
    }

    /** The route with the longest path prefix that matches on whole segments. */
    routeFor(path: string): Route | undefined {
        let best: Route | undefined;
        for (const route of this.routes.values()) {
            const prefix = route.path.endsWith("/") ? route.path : `${route.path}/`;
            const matches = path === route.path || path.startsWith(prefix);
            if (matches && route.path.length > (best?.path.length ?? -1)) {
                best = route;
            }
        }
        return best;
    }

    /** All cells of the zones that a pool names, in a stable order. */
    cellsOf(pool: Pool): CellName[] {
        return [...new Set(pool.zones)].sort().flatMap(name => this.cellsOfZone(name));
    }

    /** Every cell of every data centre. */
    allCells(): CellName[] {
        return [...this.zones.keys()].sort().flatMap(name => this.cellsOfZone(name));
    }

    /** The cell that owns a task with this key; the same in every process that has these tables. */
    homeCell(pool: Pool, taskKey: string): CellName {
        const names = this.cellsOf(pool).map(String);
        const pick = rendezvousPick(taskKey, names);
        if (pick === undefined) {
            throw new RangeError(`Pool ${pool.name} has no cells`);
        }
        return CellName.parse(pick);
    }

    /** The link between two different regions, if the table lists one. */
    linkBetween(from: string, to: string): Link | undefined {
        return [...this.links.values()].find(
            link => link.between.includes(from) && link.between.includes(to),
        );
    }

    private cellsOfZone(name: string): CellName[] {
        const zone = this.zones.get(name);
        return Array.from({ length: zone?.cells ?? 0 }, (_, index) => CellName.create(name, index));
    }
}
