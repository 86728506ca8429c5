import { SeededRandom } from "@samphireward/core/seeded-random";
import type { CrashDay } from "./crash-day.js";

const StepMs = 100;
/**
 * Time from the end of the faults to the end of the day. A task that is held until then crashes up to five workers, and
 * each loss takes a lease and its settling.
 */
const QuietMs = 60_000;

/** Draws a day with unrelated losses, cuts, changes of owner and deadly tasks, each of them independently or not at all. */
export const drawCrashDay = (seed: number): CrashDay => {
    const random = SeededRandom.create(seed);
    const between = (min: number, max: number): number => min + random.next() * (max - min);
    const msBetween = (min: number, max: number): number => Math.round(between(min, max) / StepMs) * StepMs;
    const isDrawn = (probability: number): boolean => random.next() < probability;
    const faultsEndMs = msBetween(20_000, 45_000);
    const losses = {
        everyMs: msBetween(2_000, 6_000),
        share: between(0.04, 0.5),
        byRack: isDrawn(0.25),
        downMs: msBetween(1_000, 5_000),
        isDark: isDrawn(0.5),
    };
    const cuts = {
        everyMs: msBetween(6_000, 15_000),
        share: between(0.1, 0.4),
        crashShare: isDrawn(0.5) ? 0.5 : 0,
    };
    return {
        deadlyShare: isDrawn(0.7) ? between(0, 0.3) : 0,
        takeOvers: isDrawn(0.5) ? between(0.002, 0.02) : 0,
        keepsIds: isDrawn(0.5),
        ...(isDrawn(0.8) ? { losses } : {}),
        ...(isDrawn(0.4) ? { cuts } : {}),
        faultsEndMs,
        durationMs: faultsEndMs + QuietMs,
        hasRealHeartbeats: true,
    };
};
