import type { TargetState } from "./target-state.js";

const MinResults = 5;
const MinFailureRatio = 0.6;
/** A target is an outlier when it fails this many times as often as the others. */
const TimesOthers = 3;
/** At most this part of a pool is ejected. */
const MaxEjectedPart = 0.5;

/**
 * Ejects a target that fails much more often than the other targets of its pool. When all of them fail, the
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
    const others = pool.filter(each => each !== target && !each.isEjected(nowMs));
    const sum = others.reduce((total, each) => total + each.failureRatio, 0);
    const mean = others.length === 0 ? 1 : sum / others.length;
    if (target.failureRatio < mean * TimesOthers) {
        return false;
    }
    target.eject();
    return true;
};
