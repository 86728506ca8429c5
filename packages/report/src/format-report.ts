import { formatTable } from "@samphireward/ctl/format-table";
import { describeSources } from "./describe-sources.js";
import { poolTable } from "./pool-table.js";
import type { Report } from "./report.js";
import { routeTable } from "./route-table.js";

/** Formats the report as text tables. */
export const formatReport = (report: Report): string => {
    const routes = routeTable(report);
    const pools = poolTable(report);
    return [
        ...describeSources(report),
        "",
        formatTable(routes.header, routes.rows),
        "",
        formatTable(pools.header, pools.rows),
    ].join("\n");
};
