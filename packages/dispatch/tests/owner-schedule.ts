import type { OwnerDisruption } from "./owner-disruption.js";

/** One schedule of the model of owners. */
export interface OwnerSchedule {
    readonly seed: number;
    /** Share of the calls that are lost, that lose their response or that are carried out late. */
    readonly faultRate: number;
    readonly disruptions: readonly OwnerDisruption[];
}
