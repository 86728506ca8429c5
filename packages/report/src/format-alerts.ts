import type { RouteReport } from "./route-report.js";

/** Formats the names of the firing rules; `ok` if none fires. */
export const formatAlerts = (route: RouteReport): string => {
    const firing = route.rules.filter(rule => rule.firing).map(({ name }) => name);
    return firing.join(", ") || "ok";
};
