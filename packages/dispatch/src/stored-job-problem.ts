import type { SetAsideReason } from "./set-aside-reason.js";

/** Why a stored job is set aside, and what is wrong with it. */
export interface StoredJobProblem {
    readonly reason: SetAsideReason;
    readonly detail: string;
}
