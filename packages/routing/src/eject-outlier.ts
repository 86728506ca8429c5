import type { TargetState } from "./target-state.js";

const MinResults = 5;
const MinFailureRatio = 0.6;
/** A target is an outlier when it fails this many times as often as the best of the others. */
const OutlierFactor = 3;
/**
 * Failed connections in a row after which a target is ejected while another one can be tried. Few enough that the
 * retry budget (10) covers the failures of a data centre with 3 targets.
 */
const MinConsecutiveConnectFailures = 3;
/** At most this part of a pool is ejected. */
const MaxEjectedRatio = 0.5;

/**
 * Whether the target cannot be connected to while another may be. This needs no results of the other: targets in
 * other data centres have none before those in the own one are ejected.
 */
const isUnreachable = (target: TargetState, pool: readonly TargetState[], nowMs: number): boolean =>
    target.consecutiveConnectFailures >= MinConsecutiveConnectFailures &&
    pool.some(
        each => each.consecutiveConnectFailures === 0 && each.share.isUsable(nowMs) && !each.isEjected(nowMs),
    );

/** Whether the target fails much more often than the best of the others. */
const isOutlier = (target: TargetState, pool: readonly TargetState[]): boolean => {
    if (target.resultCount < MinResults || target.failureRatio < MinFailureRatio) {
        return false;
    }
    // The mean of the others would hide outliers when most of a pool fails.
    const others = pool.filter(each => each !== target && each.resultCount >= MinResults);
    const best = others.reduce((least, each) => Math.min(least, each.failureRatio), 1);
    return target.failureRatio >= best * OutlierFactor;
};

/**
 * Ejects a target that cannot be connected to, or that fails much more often than another target of its pool.
 * When all of them fail, the requests are at fault or there is nowhere better to send them, and nothing is ejected.
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
