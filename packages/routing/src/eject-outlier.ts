import type { TargetState } from "./target-state.js";

const MinResults = 5;
const MinFailureRatio = 0.6;
/** A target is an outlier if its failure ratio is at least this multiple of the best of the others. */
const OutlierFactor = 3;
/**
 * Consecutive connect failures after which a target is ejected if another one can be tried. Low enough that the
 * retry budget (10 tokens) covers the failures of a data centre with 3 targets.
 */
const MinConsecutiveConnectFailures = 3;
/** Maximum fraction of a pool that is ejected at the same time. */
const MaxEjectedRatio = 0.5;

/**
 * Whether connections to the target fail while another target may be reachable. Requires no results of the other
 * target, because targets in other data centres have none until those in the local one are ejected.
 */
const isUnreachable = (target: TargetState, pool: readonly TargetState[], nowMs: number): boolean =>
    target.consecutiveConnectFailures >= MinConsecutiveConnectFailures &&
    pool.some(
        each => each.consecutiveConnectFailures === 0 && each.share.isUsable(nowMs) && !each.isEjected(nowMs),
    );

/** Whether the failure ratio of the target is much higher than that of the best of the others. */
const isOutlier = (target: TargetState, pool: readonly TargetState[]): boolean => {
    if (target.resultCount < MinResults || target.failureRatio < MinFailureRatio) {
        return false;
    }
    // Compared with the best, because the mean would hide outliers when most of a pool fails.
    const others = pool.filter(each => each !== target && each.resultCount >= MinResults);
    const best = others.reduce((least, each) => Math.min(least, each.failureRatio), 1);
    return target.failureRatio >= best * OutlierFactor;
};

/**
 * Ejects a target that cannot be connected to, or that fails much more often than another target of its pool. If
 * all targets fail, the requests are the cause or no target is better, and nothing is ejected. Returns whether the
 * target was ejected.
 */
export const ejectOutlier = (target: TargetState, pool: readonly TargetState[], nowMs: number): boolean => {
    if (target.isEjected(nowMs) || !(isUnreachable(target, pool, nowMs) || isOutlier(target, pool))) {
        return false;
    }
    const ejected = pool.filter(each => each.isEjected(nowMs)).length;
    if (ejected + 1 > pool.length * MaxEjectedRatio) {
        return false;
    }
    target.eject();
    return true;
};
