import type { TableProblem } from "./table-problem.js";
import type { TablesSchema } from "./tables-schema.js";

type TablesContent = (typeof TablesSchema)["Type"];

const joinSorted = (names: Iterable<string>): string => [...names].sort().join(", ") || "none";

const checkRoutes = (content: TablesContent): TableProblem[] =>
    Object.entries(content.routes).flatMap(([name, route]) => {
        const pool = content.pools[route.pool];
        const key = `routes.${name}.pool`;
        if (pool === undefined) {
            const poolNames = joinSorted(Object.keys(content.pools));
            return [
                {
                    file: "routes",
                    key,
                    message: `Expected a pool of the pools table (${poolNames}), got "${route.pool}"`,
                },
            ];
        }
        if (route.kind === "request" && pool.service === undefined) {
            return [
                {
                    file: "routes",
                    key,
                    message: `Expected a pool with a service, because the route is for requests`,
                },
            ];
        }
        return [];
    });

const checkPaths = (content: TablesContent): TableProblem[] => {
    const firstByPath = new Map<string, string>();
    return Object.entries(content.routes).flatMap(([name, route]) => {
        const first = firstByPath.get(route.path);
        firstByPath.set(route.path, first ?? name);
        const message = `Expected a path of its own, but routes.${first} has "${route.path}" too`;
        return first === undefined ? [] : [{ file: "routes", key: `routes.${name}.path`, message }];
    });
};

const checkPools = (content: TablesContent): TableProblem[] =>
    Object.entries(content.pools).flatMap(([name, pool]) => {
        const problems: TableProblem[] = [];
        if (content.teams[pool.team] === undefined) {
            const message = `Expected a team (${joinSorted(Object.keys(content.teams))}), got "${pool.team}"`;
            problems.push({ file: "pools", key: `pools.${name}.team`, message });
        }
        for (const zone of pool.zones.filter(zone => content.zones[zone] === undefined)) {
            const message = `Expected a zone (${joinSorted(Object.keys(content.zones))}), got "${zone}"`;
            problems.push({ file: "pools", key: `pools.${name}.zones`, message });
        }
        return problems;
    });

const checkLinks = (content: TablesContent): TableProblem[] => {
    const regions = new Set(Object.values(content.zones).map(zone => zone.region));
    return Object.entries(content.links).flatMap(([name, link]) =>
        link.between
            .filter(region => !regions.has(region))
            .map(region => ({
                file: "pools",
                key: `links.${name}.between`,
                message: `Expected a region of a zone (${joinSorted(regions)}), got "${region}"`,
            })),
    );
};

/**
 * Checks that every pool, team, zone and region that the tables refer to exists, and that no two routes share a
 * path. Returns all problems.
 */
export const checkTableReferences = (content: TablesContent): TableProblem[] => [
    ...checkRoutes(content),
    ...checkPaths(content),
    ...checkPools(content),
    ...checkLinks(content),
];
