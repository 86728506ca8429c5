import type { Attempt } from "./attempt.js";
import { leaseEndMs } from "./lease-end-ms.js";
import type { LinkState } from "./link-state.js";

/** Describes for operators why a task on a worker makes no progress; empty when the worker answers. */
export const describeLink = (worker: string, link: LinkState, attempt: Attempt | undefined): string => {
    if (link.isGone) {
        return `worker ${worker} is gone from the directory; the task is released when its lease has ended`;
    }
    if (!link.isFenced) {
        return `worker ${worker} has not answered this owner yet; what it runs is unknown`;
    }
    if (!link.isReachable) {
        const nowMs = link.clock.nowMs();
        const endMs = leaseEndMs(attempt?.leaseCallSettledMs ?? nowMs, link.timing);
        const seconds = Math.max(0, Math.ceil((endMs - nowMs) / 1000));
        return `worker ${worker} does not answer; the task is released in ${seconds} s unless it does`;
    }
    return "";
};
