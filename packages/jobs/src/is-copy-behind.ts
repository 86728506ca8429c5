import type { Run } from "./run.js";
import { RunPhase } from "./run-phase.js";

/** A copy is compared with its original after this time, since the first readings of progress are coarse. */
const MinElapsedMs = 1_000;

const remainingMs = ({ startedAtMs, progressPercent }: Run, nowMs: number): number =>
    progressPercent <= 0 ? Infinity : ((nowMs - startedAtMs) * (100 - progressPercent)) / progressPercent;

/**
 * Whether a copy is expected to end after its original: the task itself takes long, or the copy's worker is slow as well.
 * A copy that goes on would only waste capacity.
 */
export const isCopyBehind = (copy: Run, nowMs: number): boolean => {
    const original = copy.task.run;
    return (
        original !== undefined &&
        copy.task.copy === copy &&
        copy.phase === RunPhase.Running &&
        original.phase === RunPhase.Running &&
        original.worker.isReachable &&
        !original.isStopRequested &&
        nowMs - copy.startedAtMs >= MinElapsedMs &&
        original.progressPercent > 0 &&
        remainingMs(copy, nowMs) > remainingMs(original, nowMs)
    );
};
