/** Settings of `CandidateIndex`. */
export interface CandidateIndexSettings {
    /** Workers offered to the policy for one decision. */
    readonly sampleSize: number;
    /** Workers that are checked one by one when too few are known to have room. */
    readonly maxScanned: number;
}
