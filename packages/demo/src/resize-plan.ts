import type { UserPlan } from "./user-plan.js";

/** The same user with another number of entry VMs, and of workers in each data centre. */
export const resizePlan = (plan: UserPlan, entryVms: number, workersPerZone: number): UserPlan => ({
    ...plan,
    entryVms,
    zones: plan.zones.map(zone => ({ ...zone, workers: workersPerZone })),
});
