import type { Run } from "./run.js";
import { RunPhase } from "./run-phase.js";

/** A copy is compared with its original by readings from this time after its start on; earlier ones are coarse. */
const MinElapsedMs = 1_000;

/** Expected time from the last reading of a run's progress to its end; readings are up to a heartbeat old. */
const remainingAtReadingMs = ({ startedAtMs, sampledAtMs, progressPercent }: Run): number =>
    progressPercent <= 0
        ? Infinity
        : ((sampledAtMs - startedAtMs) * (100 - progressPercent)) / progressPercent;

/**
 * Whether a copy is expected to end after its original: the task itself takes long, or the copy's worker is slow as well.
 * A copy that goes on would only waste capacity.
 */
export const isCopyBehind = (copy: Run): boolean => {
    const original = copy.task.run;
    return (
        original !== undefined &&
        copy.task.copy === copy &&
        copy.phase === RunPhase.Running &&
        original.phase === RunPhase.Running &&
        original.worker.isReachable &&
        !original.isStopRequested &&
        // It is not known since when adopted runs have been at work.
        !original.isAdopted &&
        !copy.isAdopted &&
        copy.sampledAtMs - copy.startedAtMs >= MinElapsedMs &&
        original.progressPercent > 0 &&
        copy.sampledAtMs + remainingAtReadingMs(copy) > original.sampledAtMs + remainingAtReadingMs(original)
    );
};
