import type { LossVerdict } from "./loss-verdict.js";

/** An attempt that was on a worker when the worker crashed or stopped answering. */
export interface AttemptLoss {
    readonly attempt: number;
    readonly worker: string;
    readonly verdict: LossVerdict;
    /** How long the attempt had run, in milliseconds, as far as the owner that noted the loss knows. */
    readonly ranMs: number;
}
