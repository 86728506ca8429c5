/** A worker's state in `EvictionPlanner`. */
export interface PressureState {
    overloaded: boolean;
    /** Reports in a row that speak for the other state. */
    streak: number;
    /** No further action before this time. */
    settledMs: number;
}
