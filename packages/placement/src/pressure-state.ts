/** A worker's state in `EvictionPlanner`. */
export interface PressureState {
    isOverloaded: boolean;
    /** Reports in a row that speak for the other state. */
    consecutiveReports: number;
    /** No further action before this time. */
    noActionBeforeMs: number;
}
