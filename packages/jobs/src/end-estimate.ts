/** Whether the result of a job that arrives now could be of use, as its cell's owner estimates it. */
export interface EndEstimate {
    /** Whether the result would come before its value is zero (`maxUsefulTargets`). */
    readonly isUseful: boolean;
    /** Whether the result would miss its target time. */
    readonly isScarce: boolean;
    /** Expected time until the result of an equal job would be of use, in milliseconds; 0 if it would be now. */
    readonly usefulInMs: number;
}
