/** What is left in a data centre that is being evacuated. */
export interface EvacuationProgress {
    readonly dataCentre: string;
    /** Runs that are there, and starts without an answer that may still be carried out there. */
    readonly runs: number;
    /** Whether nothing is left there. */
    readonly isComplete: boolean;
}
