const MinuteMs = 60_000;

/** Processes record metrics in buckets of 10 s, so shorter steps would add no detail. */
const BucketDurationMs = 10_000;

/** Below this span the step is at most one bucket, so that a report shortly after the start shows a line. */
const MinMinuteStepSpanMs = 10 * MinuteMs;

/** Minimum number of points for a visible line. */
const MinPoints = 2;

/** Times of a chart's points: one per minute, or one per 10 s or less for a short span. The last one is `endMs`. */
export const timeSteps = (startMs: number, endMs: number): number[] => {
    const spanMs = endMs - startMs;
    const stepMs = spanMs < MinMinuteStepSpanMs ? Math.min(BucketDurationMs, spanMs / MinPoints) : MinuteMs;
    const count = Math.floor(spanMs / Math.max(1, stepMs));
    return Array.from({ length: count }, (_, index) => endMs - (count - 1 - index) * stepMs);
};
