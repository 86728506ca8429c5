/** Process noise of the slope, as a variance per second: loads rise and fall within seconds. */
const SlopeDriftPerSecond = 0.05;
/** Variance of the slope before the first reading, per second squared. */
const InitialSlopeVariance = 0.2;
/** Time constant with which an extrapolated slope decays, since loads swing back. */
const SlopeDecayMs = 1_000;
/** Time window of the running mean. */
const MeanWindowMs = 8_000;
const MsPerSecond = 1_000;

/**
 * Forecast of a value that rises and falls within seconds: a Kalman filter with level and slope. It tracks the
 * headroom that the tasks of a serving step would have without fillers beside them.
 */
export class HeadroomForecast {
    private slope = 0;
    private covariance = 0;
    private slopeVariance = InitialSlopeVariance;
    private runningMean: number;
    private readingCount = 0;

    private constructor(
        private level: number,
        private levelVariance: number,
        private updatedAtMs: number,
    ) {
        this.runningMean = level;
    }

    static create(level: number, variance: number, nowMs: number): HeadroomForecast {
        return new HeadroomForecast(level, variance, nowMs);
    }

    /** Prediction step: advances level and variances to a monotonic time. An earlier time changes nothing. */
    advance(toMs: number): void {
        const seconds = (toMs - this.updatedAtMs) / MsPerSecond;
        if (seconds <= 0) {
            return;
        }
        this.level += this.slope * seconds;
        this.levelVariance = this.varianceAfter(seconds);
        this.covariance += seconds * this.slopeVariance + (SlopeDriftPerSecond * seconds ** 2) / 2;
        this.slopeVariance += SlopeDriftPerSecond * seconds;
        this.updatedAtMs = toMs;
    }

    /** Update step: `innovation` is a reading less its expected value, `totalVariance` the variance of that. */
    correct(innovation: number, totalVariance: number, elapsedMs: number): void {
        const gain = this.levelVariance / totalVariance;
        const slopeGain = this.covariance / totalVariance;
        this.level += gain * innovation;
        this.slope += slopeGain * innovation;
        this.slopeVariance -= slopeGain * this.covariance;
        this.levelVariance *= 1 - gain;
        this.covariance *= 1 - gain;
        this.readingCount++;
        const weight = Math.max(1 / this.readingCount, Math.min(1, elapsedMs / MeanWindowMs));
        this.runningMean += (this.level - this.runningMean) * weight;
    }

    get current(): number {
        return this.level;
    }

    get variance(): number {
        return this.levelVariance;
    }

    /** Running mean over the last seconds. */
    get mean(): number {
        return this.runningMean;
    }

    /** Monotonic time of the latest reading that was taken into account. */
    get lastReadingAtMs(): number {
        return this.updatedAtMs;
    }

    /** Expected value at a monotonic time. */
    valueAt(ms: number): number {
        const aheadMs = Math.max(0, ms - this.updatedAtMs);
        const effectiveMs = SlopeDecayMs * (1 - Math.exp(-aheadMs / SlopeDecayMs));
        return this.level + (this.slope * effectiveMs) / MsPerSecond;
    }

    /** Standard deviation of the expected value at a monotonic time. */
    deviationAt(ms: number): number {
        const seconds = Math.min(SlopeDecayMs, Math.max(0, ms - this.updatedAtMs)) / MsPerSecond;
        return Math.sqrt(this.varianceAfter(seconds));
    }

    private varianceAfter(seconds: number): number {
        return (
            this.levelVariance +
            2 * seconds * this.covariance +
            seconds ** 2 * this.slopeVariance +
            (SlopeDriftPerSecond * seconds ** 3) / 3
        );
    }
}
