import type { AttemptLoss } from "./attempt-loss.js";
import { LossVerdict } from "./loss-verdict.js";

/** Describes for callers and operators which workers crashed under a task that was given up. */
export const describeCrashes = (losses: readonly AttemptLoss[]): string => {
    const crashed = losses.filter(({ verdict }) => verdict === LossVerdict.Crashed);
    return `given up: ${crashed.map(({ worker }) => worker).join(" and ")} crashed while they ran it`;
};
