/** Change of the slope per second that is expected, as a variance per second: loads swing within seconds. */
const SlopeDrift = 0.05;
/** Variance of a slope that is not known yet, per second squared. */
const FirstSlopeVariance = 0.2;
/** A slope goes on for about this long: loads swing back. */
const SlopeLastsMs = 1_000;
/** Time over which the mean is taken, in milliseconds. */
const MeanMs = 8_000;
const MsPerSecond = 1_000;

/**
 * Forecast of a value that rises and falls within seconds: a Kalman filter of its level and slope. It is used for
 * the headroom that the tasks of a serving step have while nothing disturbs them.
 */
export class HeadroomForecast {
    private slope = 0;
    private covariance = 0;
    private slopeVariance = FirstSlopeVariance;
    private longMean: number;
    private readingCount = 0;

    private constructor(
        private level: number,
        private levelVariance: number,
        private updatedMs: number,
    ) {
        this.longMean = level;
    }

    static create(level: number, variance: number, nowMs: number): HeadroomForecast {
        return new HeadroomForecast(level, variance, nowMs);
    }

    /** Brings level and variances up to a monotonic time; an earlier one changes nothing. */
    advance(toMs: number): void {
        const seconds = (toMs - this.updatedMs) / MsPerSecond;
        if (seconds <= 0) {
            return;
        }
        this.level += this.slope * seconds;
        this.levelVariance = this.varianceAfter(seconds);
        this.covariance += seconds * this.slopeVariance + (SlopeDrift * seconds ** 2) / 2;
        this.slopeVariance += SlopeDrift * seconds;
        this.updatedMs = toMs;
    }

    /** Corrects the forecast by the difference between a reading and its expectation, of the given variance. */
    correct(surprise: number, totalVariance: number, elapsedMs: number): void {
        const gain = this.levelVariance / totalVariance;
        const slopeGain = this.covariance / totalVariance;
        this.level += gain * surprise;
        this.slope += slopeGain * surprise;
        this.slopeVariance -= slopeGain * this.covariance;
        this.levelVariance *= 1 - gain;
        this.covariance *= 1 - gain;
        this.readingCount++;
        const weight = Math.max(1 / this.readingCount, Math.min(1, elapsedMs / MeanMs));
        this.longMean += (this.level - this.longMean) * weight;
    }

    get current(): number {
        return this.level;
    }

    get variance(): number {
        return this.levelVariance;
    }

    /** Mean over the last seconds. */
    get mean(): number {
        return this.longMean;
    }

    /** Monotonic time up to which readings were taken into account. */
    get lastReadingAtMs(): number {
        return this.updatedMs;
    }

    /** Expected value at a monotonic time. */
    valueAt(ms: number): number {
        const aheadMs = Math.max(0, ms - this.updatedMs);
        const effectiveMs = SlopeLastsMs * (1 - Math.exp(-aheadMs / SlopeLastsMs));
        return this.level + (this.slope * effectiveMs) / MsPerSecond;
    }

    /** Standard deviation of the expected value at a monotonic time. */
    deviationAt(ms: number): number {
        const seconds = Math.min(SlopeLastsMs, Math.max(0, ms - this.updatedMs)) / MsPerSecond;
        return Math.sqrt(this.varianceAfter(seconds));
    }

    private varianceAfter(seconds: number): number {
        return (
            this.levelVariance +
            2 * seconds * this.covariance +
            seconds ** 2 * this.slopeVariance +
            (SlopeDrift * seconds ** 3) / 3
        );
    }
}
