/** How far the evacuation of a data centre has come in a cell, as stored for the operators. */
export const EvacuationState = {
    /** Runs of the cell are left there, or may be. */
    Running: "running",
    /** No run of the cell is left there. */
    Completed: "completed",
} as const;

export type EvacuationState = (typeof EvacuationState)[keyof typeof EvacuationState];
