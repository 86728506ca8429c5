import type { UserPlan } from "./user-plan.js";

/** Returns the plan with another number of entry VMs and of workers in each data centre. */
export const resizePlan = (plan: UserPlan, entryVms: number, workersPerDataCentre: number): UserPlan => ({
    ...plan,
    entryVms,
    dataCentres: plan.dataCentres.map(dataCentre => ({ ...dataCentre, workerCount: workersPerDataCentre })),
});
