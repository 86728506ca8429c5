import type { CrashEvidenceFields } from "./crash-evidence-fields.js";
import type { CrashObservation } from "./crash-observation.js";

/** Fewest crashes after which a task is given up: two losses soon after a start are ordinary where workers crash. */
const MinCrashes = 3;
/**
 * Crashes after which a task is given up in any case. It may crash five workers, and one crash may be missing here, because
 * the owner that started the task ended before it noticed the crash.
 */
const MaxCrashes = 4;
/** Probability of the crashes for other causes below which the task is taken for their cause. */
const MaxChance = 3e-5;
/** The same for a task with more crashes that may be missing. */
const MaxChanceIfUnnoticed = 1e-3;
/** Difference between the ages at which a task crashes two workers, in milliseconds. */
const AgeToleranceMs = 100;

/**
 * The evidence that a task crashes its workers. Such a task does so at about the same age each time, while other causes
 * strike at any age, so crashes at different ages are no evidence.
 */
export class CrashEvidence implements CrashEvidenceFields {
    static readonly none = new CrashEvidence(0, 0, 0, 1);

    private constructor(
        readonly count: number,
        readonly minAgeMs: number,
        readonly maxAgeMs: number,
        readonly chance: number,
    ) {}

    static create({ count, minAgeMs, maxAgeMs, chance }: CrashEvidenceFields): CrashEvidence {
        return new CrashEvidence(count, minAgeMs, maxAgeMs, chance);
    }

    /** The form in which the evidence is stored. */
    get fields(): CrashEvidenceFields {
        const { count, minAgeMs, maxAgeMs, chance } = this;
        return { count, minAgeMs: Math.round(minAgeMs), maxAgeMs: Math.round(maxAgeMs), chance };
    }

    /** Adds a crash. One at another age than those before makes it the only one. */
    add(crash: CrashObservation): CrashEvidence {
        const minAgeMs = Math.max(this.minAgeMs, crash.minAgeMs);
        const maxAgeMs = Math.min(this.maxAgeMs, crash.maxAgeMs);
        if (this.count === 0 || minAgeMs > maxAgeMs + AgeToleranceMs) {
            return new CrashEvidence(1, crash.minAgeMs, crash.maxAgeMs, 1);
        }
        const [lowMs, highMs] = [Math.min(minAgeMs, maxAgeMs), Math.max(minAgeMs, maxAgeMs)];
        return new CrashEvidence(this.count + 1, lowMs, highMs, this.chance * this.chanceOf(crash));
    }

    /** Whether the crashes are enough to give the task up. `mayLackMore`: owners may have ended before they noticed more. */
    isConclusive(mayLackMore: boolean): boolean {
        const maxChance = mayLackMore ? MaxChanceIfUnnoticed : MaxChance;
        return this.count >= MaxCrashes || (this.count >= MinCrashes && this.chance <= maxChance);
    }

    /** Whether the next crash may end the task, so that nothing else should be its cause. */
    isNearLimit(mayLackMore: boolean): boolean {
        return this.count >= (mayLackMore ? MinCrashes : MaxCrashes) - 1;
    }

    /** Probability that another cause makes a crash look like those before. */
    private chanceOf({ minAgeMs, maxAgeMs, lossRatePerMs, sharedLossProbability }: CrashObservation): number {
        const windowMs = this.maxAgeMs - this.minAgeMs + (maxAgeMs - minAgeMs) + 2 * AgeToleranceMs;
        return Math.min(1, lossRatePerMs * windowMs + sharedLossProbability);
    }
}
