/** Deviations of a run from steady load. Times are shares (0 to 1) of the duration of the run. */
export interface Scenario {
    readonly name: string;
    readonly reportLagSeconds: number;
    /** Multiplies the request rate from `eventStartShare` on. */
    readonly requestRateFactor: number;
    /** Whether about half of the true pair effects are redrawn at `eventStartShare`. */
    readonly redrawsEffects: boolean;
    /** Multiplies the demand of the noisy class between `eventStartShare` and `eventEndShare`. */
    readonly noisyDemandFactor: number;
    /** Actual sizes and run times differ from the declared ones by up to this factor, up or down. */
    readonly maxSizeErrorFactor: number;
    /** Share of the queued and running batch tasks that are cancelled at `eventStartShare`. */
    readonly cancelledShare: number;
    /** Failure domain that is lost between `eventStartShare` and `eventEndShare`. */
    readonly lostFailureDomain: "nothing" | "rack" | "data-centre";
    readonly eventStartShare: number;
    readonly eventEndShare: number;
}
