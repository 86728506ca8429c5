/** Readings of a run and of its siblings, the other tasks of its step. */
interface StragglerReadings {
    /** Time since its start, in milliseconds. */
    readonly elapsedMs: number;
    /** Progress of the run, 0 to 100. */
    readonly progressPercent: number;
    /** Whether a copy continues from the checkpoint of the run. */
    readonly checkpoints: boolean;
    /** The submitter's rough estimate of the duration, in milliseconds. */
    readonly estimatedMs: number;
    /** Mean speed of the step's tasks relative to the estimate; undefined before the first reading. */
    readonly meanRelativeSpeed: number | undefined;
    /** Median duration of the tasks that ended as done, in milliseconds; undefined if this owner saw none. */
    readonly medianDoneMs: number | undefined;
    /** Siblings that have ended as done. */
    readonly siblingsDone: number;
    /** Progress of each task of the step that runs, the run itself included, in percent, descending. */
    readonly runningProgress: readonly number[];
}

/** What a copy is expected to take and to gain. */
interface Straggler {
    /** Time from the order to start a copy to the end of the copy, in milliseconds. */
    readonly copyMs: number;
    /** Time by which the copy is expected to end before the original, in milliseconds. */
    readonly gainMs: number;
}

/** A run is judged after this time, since the first readings of progress are coarse. */
const MinElapsedMs = 700;
/** Time from the order to start a copy until the copy is at full speed. */
const CopyStartMs = 300;
/** A run is slow if it is expected to take this many times the usual duration of its siblings. */
const SlowRatio = 1.5;
/** The rest of the run has to be longer than the copy by this factor, since estimates are off by up to a half. */
const MinGainRatio = 1.5;
/** A smaller gain is not worth the two orders of a copy. */
const MinGainMs = 500;
/** A sibling counts as further along from this difference in progress, in percent. */
const AheadPercent = 10;
/** Share of the siblings that have started which have to be done or further along; otherwise the step is slow as a whole. */
const MinAheadShare = 0.5;

const isBehindSiblings = ({ siblingsDone, runningProgress, progressPercent }: StragglerReadings): boolean => {
    const started = siblingsDone + runningProgress.length - 1;
    const aheadNeeded = Math.ceil(started * MinAheadShare) - siblingsDone;
    // Since the progress is in descending order, this many are ahead if the last of them is.
    const isAhead =
        aheadNeeded <= 0 || (runningProgress[aheadNeeded - 1] ?? 0) >= progressPercent + AheadPercent;
    return started > 0 && isAhead;
};

/** Expected time until the run ends; without progress it has the usual duration still to go, and has lost what it took. */
const remainingMs = ({ elapsedMs, progressPercent }: StragglerReadings, usualMs: number): number =>
    progressPercent <= 0 ? elapsedMs + usualMs : (elapsedMs * (100 - progressPercent)) / progressPercent;

/**
 * Returns what a copy of a task is expected to gain; undefined if its run is not slow against its siblings or a copy would
 * not end clearly earlier.
 */
export const assessStraggler = (readings: StragglerReadings): Straggler | undefined => {
    const { elapsedMs, progressPercent, checkpoints, estimatedMs, meanRelativeSpeed, medianDoneMs } =
        readings;
    if (elapsedMs < MinElapsedMs || progressPercent >= 100) {
        return undefined;
    }
    const speed = meanRelativeSpeed !== undefined && meanRelativeSpeed > 0 ? meanRelativeSpeed : undefined;
    const usualMs = medianDoneMs ?? (speed === undefined ? undefined : estimatedMs / speed);
    if (usualMs === undefined) {
        return undefined;
    }
    const leftMs = remainingMs(readings, usualMs);
    const copyMs = CopyStartMs + usualMs * (checkpoints ? 1 - progressPercent / 100 : 1);
    const gainMs = leftMs - copyMs;
    const isSlow = elapsedMs + leftMs >= usualMs * SlowRatio;
    const endsEarlier = leftMs >= copyMs * MinGainRatio && gainMs >= MinGainMs;
    return isSlow && endsEarlier && isBehindSiblings(readings) ? { copyMs, gainMs } : undefined;
};
