import { formatTable } from "@samphireward/ctl/format-table";
import { describeSource } from "./describe-source.js";
import { poolRows } from "./pool-rows.js";
import type { Report } from "./report.js";
import { routeRows } from "./route-rows.js";

/** The report as text tables. */
export const formatReport = (report: Report): string => {
    const routes = routeRows(report);
    const pools = poolRows(report);
    return [
        ...describeSource(report),
        "",
        formatTable(routes.header, routes.rows),
        "",
        formatTable(pools.header, pools.rows),
    ].join("\n");
};
