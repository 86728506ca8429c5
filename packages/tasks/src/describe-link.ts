import type { Attempt } from "./attempt.js";
import { leaseEnd } from "./lease-end.js";
import type { LinkState } from "./link-state.js";

/** Why a task on a worker does not make progress, for operators; empty when the worker answers. */
export const describeLink = (worker: string, link: LinkState, attempt: Attempt | undefined): string => {
    if (link.gone) {
        return `worker ${worker} is gone from the directory; the task is released when its lease has ended`;
    }
    if (!link.fenced) {
        return `worker ${worker} has not answered this owner yet; what it runs is unknown`;
    }
    if (!link.reachable) {
        const nowMs = link.clock.nowMs();
        const endMs = leaseEnd(attempt?.leaseBaseMs ?? nowMs, link.timing);
        const seconds = Math.max(0, Math.ceil((endMs - nowMs) / 1000));
        return `worker ${worker} does not answer; the task is released in ${seconds} s unless it does`;
    }
    return "";
};
