/** What deviates from a steady day. Times are shares (0 to 1) of the run. */
export interface Scenario {
    readonly name: string;
    readonly lagSeconds: number;
    /** Multiplies the request rate from `startShare` on. */
    readonly loadFactor: number;
    /** Redraws half of the hidden pair effects at `startShare`. */
    readonly shiftsPairs: boolean;
    /** Multiplies the demand of the noisy class between `startShare` and `endShare`. */
    readonly noisyFactor: number;
    /** Actual sizes and run times differ from the declared ones by up to this factor, either way. */
    readonly sizeError: number;
    /** Share of the queued and running batch tasks that are cancelled at `startShare`. */
    readonly cancelledShare: number;
    /** What is lost between `startShare` and `endShare`. */
    readonly lost: "nothing" | "rack" | "data-centre";
    readonly startShare: number;
    readonly endShare: number;
}
