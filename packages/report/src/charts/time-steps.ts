const MinuteMs = 60_000;

/** Processes count in buckets of 10 s; finer steps would show nothing more. */
const BucketDurationMs = 10_000;

/** Below this span the steps are as short as a bucket, so that a report soon after the start shows a line. */
const MinMinuteStepSpanMs = 10 * MinuteMs;

/** A line needs two points. */
const MinPoints = 2;

/** Times of a chart's points, one a minute, or one each 10 s or less over a short span; the last is `endMs`. */
export const timeSteps = (startMs: number, endMs: number): number[] => {
    const spanMs = endMs - startMs;
    const stepMs = spanMs < MinMinuteStepSpanMs ? Math.min(BucketDurationMs, spanMs / MinPoints) : MinuteMs;
    const count = Math.floor(spanMs / Math.max(1, stepMs));
    return Array.from({ length: count }, (_, index) => endMs - (count - 1 - index) * stepMs);
};
