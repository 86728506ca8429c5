/** Settings of `CandidateIndex`. */
export interface CandidateIndexSettings {
    /** Most workers that are passed to the policy for one decision. */
    readonly sampleSize: number;
    /** Most workers that are checked one by one if too few are known to have room. */
    readonly maxScanned: number;
}
