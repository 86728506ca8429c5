/** Workers of a fleet for which the limits of a plan are stated. */
const ReferenceWorkers = 45;

/**
 * Limit of a plan that grows with the fleet. The owner of a larger fleet plans less often, and more tasks wait there at
 * the same time.
 */
export const limitForFleet = (limit: number, workerCount: number): number =>
    Math.max(limit, Math.ceil((limit * workerCount) / ReferenceWorkers));
