/** State of one worker in `EvictionPlanner`. */
export interface PressureState {
    isOverloaded: boolean;
    /** Consecutive reports that favor a change of `isOverloaded`. */
    consecutiveReports: number;
    /** The planner takes no action on the worker before this time. */
    noActionBeforeMs: number;
}
