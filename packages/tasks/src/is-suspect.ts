import type { AttemptLoss } from "./attempt-loss.js";
import { LossVerdict } from "./loss-verdict.js";

/** Whether a task with these losses may crash its worker, so that it is started only where no other such task runs. */
export const isSuspect = (losses: readonly AttemptLoss[]): boolean =>
    losses.some(({ verdict }) => verdict !== LossVerdict.Excused);
