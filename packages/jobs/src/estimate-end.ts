import { canBeTooLate } from "./can-be-too-late.js";
import { criticalPathMs } from "./critical-path-ms.js";
import type { EndEstimate } from "./end-estimate.js";
import { jobWorkMs } from "./job-work-ms.js";
import type { JobSpec } from "./job-spec.js";
import { maxUsefulTargets } from "./max-useful-targets.js";
import type { QueueRule } from "./queue-rule.js";
import { targetTimeMs } from "./target-time-ms.js";
import type { QueueBacklog } from "./queue-backlog.js";

/** Share of the estimated work that counts: estimates may be 50% too high, and a refusal must be right even then. */
const CertainShare = 0.5;

/** Work that starts before a job whose latest start is `startByMs`, in processor-milliseconds. */
const workBefore = ({ firstMs, byLatestStart }: QueueBacklog, startByMs: number): number => {
    let low = 0;
    let high = byLatestStart.length;
    while (low < high) {
        const middle = (low + high) >> 1;
        if ((byLatestStart[middle]?.startByMs ?? Infinity) < startByMs) {
            low = middle + 1;
        } else {
            high = middle;
        }
    }
    return firstMs + (byLatestStart[low - 1]?.sumMs ?? 0);
};

/**
 * Estimates when a job could end that arrives now: after the work that starts before it, and not before its own critical
 * path and its own work allow it. It waits behind all work whose latest start is before its own: that for a result in time
 * first and, once that has passed, that for a result of use. Without capacity nothing can be said, so that the result
 * counts as useful; so does that of a job that would be too late with nothing ahead of it, since waiting would not help it.
 */
export const estimateEnd = (
    spec: JobSpec,
    rule: QueueRule,
    backlog: QueueBacklog,
    wallMs: number,
): EndEstimate => {
    const { processors } = backlog;
    if (processors <= 0 || !canBeTooLate(spec)) {
        return { isUseful: true, isScarce: false, usefulInMs: 0 };
    }
    const pathMs = criticalPathMs(spec.steps);
    const targetMs = targetTimeMs(rule, pathMs);
    const ownMs = CertainShare * Math.max(pathMs, jobWorkMs(spec) / processors);
    /** Time by which a result within a limit would be too late; negative if it is expected earlier. */
    const tooLateByMs = (limitMs: number): number => {
        const before = workBefore(backlog, wallMs + limitMs - pathMs);
        return (CertainShare * before) / processors + ownMs - limitMs;
    };
    const usefulMs = maxUsefulTargets * targetMs;
    const isScarce = tooLateByMs(targetMs) > 0;
    const usefulInMs = isScarce && ownMs <= usefulMs ? Math.max(0, tooLateByMs(usefulMs)) : 0;
    return { isUseful: usefulInMs === 0, isScarce, usefulInMs };
};
