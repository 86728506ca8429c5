/** What deviates from a steady day. Times are shares (0 to 1) of the run. */
export interface Scenario {
    readonly name: string;
    readonly reportLagSeconds: number;
    /** Multiplies the request rate from `startShare` on. */
    readonly requestRateFactor: number;
    /** Redraws half of the hidden pair effects at `startShare`. */
    readonly redrawsEffects: boolean;
    /** Multiplies the demand of the noisy class between `startShare` and `endShare`. */
    readonly noisyDemandFactor: number;
    /** Actual sizes and run times differ from the declared ones by up to this factor, either way. */
    readonly maxSizeErrorFactor: number;
    /** Share of the queued and running batch tasks that are cancelled at `startShare`. */
    readonly cancelledShare: number;
    /** What is lost between `startShare` and `endShare`. */
    readonly lostFailureDomain: "nothing" | "rack" | "data-centre";
    readonly eventStartShare: number;
    readonly eventEndShare: number;
}
