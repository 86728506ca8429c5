import type { InterferenceSnapshot } from "./interference-snapshot.js";
import type { InterferenceSettings } from "./interference-settings.js";
import type { PairEstimate } from "./pair-estimate.js";
import type { SlowdownChange } from "./slowdown-change.js";
import { SlowdownPredictor } from "./slowdown-predictor.js";

const defaults: InterferenceSettings = {
    loadBandUpperBounds: [0.4, 0.7],
    priorEffect: 1,
    priorStdDev: 1,
    loadBandStdDev: 0.3,
    reportStdDev: 0.2,
    driftStdDevPerSqrtHour: 1,
    upperBoundStdDevs: 0.5,
};

const MsPerHour = 3_600_000;
/** Limit on the innovation of one report, so that a single outlier changes the estimates only a little. */
const MaxInnovation = 2;

/**
 * Estimates the effect of each class on each other class in each load band and over all loads. Few reports fall
 * into a single band, so the estimate of a band starts from the one over all loads. The slowdown of a class is
 * modelled as 1 plus the sum of the effects of its neighbours, each weighted by its share of the processors.
 * Estimates are updated by a Kalman filter with a diagonal covariance: the innovation of a report is distributed
 * over the pairs in proportion to their variance, so well-known pairs change little. The variance grows with time,
 * so that the model follows changes of the interference.
 */
export class InterferenceModel extends SlowdownPredictor {
    /** By affected class, load band and neighbour. */
    private readonly estimates = new Map<string, Map<string, PairEstimate>[]>();

    private readonly reusedChange: SlowdownChange = { before: 1, after: 1 };
    /** Upper bound of the effect of a pair without reports. */
    private readonly unknownPairEffect: number;

    private constructor(private readonly settings: InterferenceSettings) {
        super();
        this.unknownPairEffect = settings.priorEffect + settings.upperBoundStdDevs * settings.priorStdDev;
    }

    static create(settings: Partial<InterferenceSettings> = {}): InterferenceModel {
        return new InterferenceModel({ ...defaults, ...settings });
    }

    override predict(
        affected: string,
        processorsByClass: ReadonlyMap<string, number>,
        added: string,
        addedProcessors: number,
        processors: number,
        load: number,
    ): number {
        this.predictChange(
            affected,
            processorsByClass,
            added,
            addedProcessors,
            processors,
            load,
            this.reusedChange,
        );
        return this.reusedChange.after;
    }

    override predictChange(
        affected: string,
        processorsByClass: ReadonlyMap<string, number>,
        added: string,
        addedProcessors: number,
        processors: number,
        load: number,
        change: SlowdownChange,
    ): void {
        const bands = this.estimates.get(affected);
        const pairs = bands?.[this.loadBandIndex(load)];
        const overall = bands?.[this.settings.loadBandUpperBounds.length + 1];
        let effect = 0;
        for (const [neighbour, reserved] of processorsByClass) {
            const pair = pairs?.get(neighbour) ?? overall?.get(neighbour);
            effect += (pair === undefined ? this.unknownPairEffect : pair.upperBound) * reserved;
        }
        const addedPair = pairs?.get(added) ?? overall?.get(added);
        const addedEffect =
            (addedPair === undefined ? this.unknownPairEffect : addedPair.upperBound) * addedProcessors;
        change.before = Math.max(1, 1 + effect / processors);
        change.after = Math.max(1, 1 + (effect + addedEffect) / processors);
    }

    /** Updates the estimates with a slowdown measured beside the given classes. Times must not decrease for a pair. */
    learn(
        affected: string,
        processorsByClass: ReadonlyMap<string, number>,
        processors: number,
        load: number,
        slowdown: number,
        observedMs: number,
    ): void {
        const bands = this.estimatesByLoadBand(affected);
        const shares = Float64Array.from(processorsByClass.values(), reserved => reserved / processors);
        for (const band of [bands.length - 1, this.loadBandIndex(load)]) {
            const pairs = Array.from(processorsByClass.keys(), name =>
                this.agedEstimate(bands, name, band, observedMs),
            );
            this.correct(pairs, shares, slowdown);
        }
    }

    /** Kalman correction: distributes the difference between measured and predicted slowdown over the pairs. */
    private correct(pairs: readonly PairEstimate[], shares: Float64Array, slowdown: number): void {
        let predictedSlowdown = 1;
        let innovationVariance = this.settings.reportStdDev ** 2;
        for (const [index, pair] of pairs.entries()) {
            const share = shares[index] ?? 0;
            predictedSlowdown += pair.effect * share;
            innovationVariance += pair.variance * share * share;
        }
        const innovation = Math.max(-MaxInnovation, Math.min(MaxInnovation, slowdown - predictedSlowdown));
        for (const [index, pair] of pairs.entries()) {
            const share = shares[index] ?? 0;
            const gain = (pair.variance * share) / innovationVariance;
            pair.effect = Math.max(0, pair.effect + gain * innovation);
            pair.variance *= 1 - gain * share;
            pair.upperBound = pair.effect + this.settings.upperBoundStdDevs * Math.sqrt(pair.variance);
        }
    }

    /** Confidence in the estimate of a pair of classes at a load, from 0 (prior only) to 1 (certain). */
    confidence(affected: string, neighbour: string, load: number): number {
        const pair = this.estimates.get(affected)?.[this.loadBandIndex(load)]?.get(neighbour);
        return pair === undefined ? 0 : 1 - pair.variance / this.settings.priorStdDev ** 2;
    }

    /** Estimated additional slowdown if the neighbour used all processors; the prior for an unknown pair. */
    effect(affected: string, neighbour: string, load: number): number {
        const pair = this.estimates.get(affected)?.[this.loadBandIndex(load)]?.get(neighbour);
        return pair?.effect ?? this.settings.priorEffect;
    }

    /** The estimates in the form in which they are stored, rounded to hundredths. */
    snapshot(): InterferenceSnapshot {
        const round = (value: number): number => Math.round(value * 100) / 100;
        return Object.fromEntries(
            [...this.estimates].map(([affected, bands]) => [
                affected,
                bands.map(pairs =>
                    [...pairs].map(
                        ([name, pair]) => [name, round(pair.effect), round(pair.variance)] as const,
                    ),
                ),
            ]),
        );
    }

    /** Loads stored estimates. They replace existing ones of the same pair and load band. */
    restore(snapshot: InterferenceSnapshot, nowMs: number): void {
        for (const [affected, stored] of Object.entries(snapshot)) {
            const bands = this.estimatesByLoadBand(affected);
            stored.forEach((pairs, band) => {
                for (const [name, effect, variance] of pairs) {
                    const upperBound = effect + this.settings.upperBoundStdDevs * Math.sqrt(variance);
                    bands[band]?.set(name, { effect, variance, upperBound, updatedAtMs: nowMs });
                }
            });
        }
    }

    private loadBandIndex(load: number): number {
        const { loadBandUpperBounds } = this.settings;
        let band = 0;
        while (band < loadBandUpperBounds.length && load >= (loadBandUpperBounds[band] ?? Infinity)) {
            band++;
        }
        return band;
    }

    private agedEstimate(
        bands: readonly Map<string, PairEstimate>[],
        neighbour: string,
        band: number,
        nowMs: number,
    ): PairEstimate {
        const maxVariance = this.stdDevOfBand(bands, band) ** 2;
        const overall = bands.at(-1)?.get(neighbour);
        const pair = bands[band]?.get(neighbour) ?? {
            effect: overall?.effect ?? this.settings.priorEffect,
            variance: maxVariance,
            upperBound: this.unknownPairEffect,
            updatedAtMs: nowMs,
        };
        bands[band]?.set(neighbour, pair);
        const elapsedHours = Math.max(0, nowMs - pair.updatedAtMs) / MsPerHour;
        pair.variance = Math.min(
            maxVariance,
            pair.variance + elapsedHours * this.settings.driftStdDevPerSqrtHour ** 2,
        );
        pair.updatedAtMs = nowMs;
        return pair;
    }

    private stdDevOfBand(bands: readonly unknown[], band: number): number {
        return band === bands.length - 1 ? this.settings.priorStdDev : this.settings.loadBandStdDev;
    }

    /** The estimates of an affected class: one map for each load band, followed by the one over all loads. */
    private estimatesByLoadBand(affected: string): Map<string, PairEstimate>[] {
        let bands = this.estimates.get(affected);
        if (bands === undefined) {
            bands = Array.from({ length: this.settings.loadBandUpperBounds.length + 2 }, () => new Map());
            this.estimates.set(affected, bands);
        }
        return bands;
    }
}
