import type { TargetState } from "./target-state.js";

const MinResults = 5;
const MinFailureRatio = 0.6;
/** A target is an outlier when it fails this many times as often as the best of the others. */
const TimesBest = 3;
/** At most this part of a pool is ejected. */
const MaxEjectedPart = 0.5;

/**
 * Ejects a target that fails much more often than another target of its pool. When all of them fail, the
 * requests are at fault or there is nowhere better to send them, and nothing is ejected.
 */
export const ejectOutlier = (target: TargetState, pool: readonly TargetState[], nowMs: number): boolean => {
    if (target.results < MinResults || target.failureRatio < MinFailureRatio || target.isEjected(nowMs)) {
        return false;
    }
    const ejected = pool.filter(each => each.isEjected(nowMs)).length;
    if (ejected + 1 > pool.length * MaxEjectedPart) {
        return false;
    }
    // The mean of the others would hide outliers when most of a pool fails.
    const others = pool.filter(each => each !== target && each.results >= MinResults);
    const best = others.reduce((least, each) => Math.min(least, each.failureRatio), 1);
    if (target.failureRatio < best * TimesBest) {
        return false;
    }
    target.eject();
    return true;
};
