import type { RouteReport } from "./route-report.js";

/** Names of the rules that fire; `ok` when none does. */
export const formatAlerts = (route: RouteReport): string => {
    const firing = route.rules.filter(rule => rule.firing).map(({ name }) => name);
    return firing.join(", ") || "ok";
};
