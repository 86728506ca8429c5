import type { LeaseDisruption } from "./lease-disruption.js";

/** One schedule of the model. */
export interface LeaseSchedule {
    readonly seed: number;
    /** Share of the calls that are lost, that lose their response or that are carried out late. */
    readonly faultRate: number;
    readonly disruptions: readonly LeaseDisruption[];
}
