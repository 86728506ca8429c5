/** A question where a job would be placed, as it is sent between processes. */
export interface PlacementQuestion {
    /** Id that the job would be accepted under. */
    readonly id: string;
    /** Name of the job's queue. */
    readonly queue: string;
    /** Body of the job's request, as callers send it. */
    readonly text: string;
}
