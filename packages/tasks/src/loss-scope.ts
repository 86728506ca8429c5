import type { WorkerLink } from "./worker-link.js";

/** Workers that are lost within this time of each other are lost together; a loss is noticed after 2 s at most. */
const TogetherMs = 3000;

/** Whether `other` stopped answering at about the same time as `link` and has not come back with its tasks. */
const isLostWith = (link: WorkerLink, other: WorkerLink): boolean => {
    const silentMs = link.state.silentSinceMs;
    const isTogether = Math.abs(other.state.silentSinceMs - silentMs) <= TogetherMs;
    return isTogether && (!other.state.isReachable || other.state.restartedMs >= silentMs - TogetherMs);
};

const areMostLostWith = (link: WorkerLink, group: readonly WorkerLink[]): boolean => {
    const lostCount = group.filter(other => other === link || isLostWith(link, other)).length;
    return lostCount > 1 && 2 * lostCount > group.length;
};

/** Whether a worker was lost together with most workers of its rack or of the cell. */
export const isLostWithMost = (link: WorkerLink, all: readonly WorkerLink[]): boolean =>
    areMostLostWith(link, all) ||
    areMostLostWith(
        link,
        all.filter(({ entry }) => entry.rack === link.entry.rack),
    );
