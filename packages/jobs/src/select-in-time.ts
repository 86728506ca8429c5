import { IndexedHeap } from "@samphireward/placement/indexed-heap";
import type { JobDemand } from "./job-demand.js";
import type { Occurrence } from "./occurrence.js";

/**
 * Capacity counts as short once all work together takes longer than this share of the mean target time. With a lower
 * one, jobs are left out that would have ended in time, see docs/design/start-order.md.
 */
const ShortTargets = 0.75;

/** Capacity that the demands of one service share. */
interface SharedCapacity {
    readonly processors: number;
    /** Work that is done before any of the demands, in processor-milliseconds. */
    readonly busyMs: number;
}

/** A demand that is expected to end in time so far. */
interface Selected {
    readonly key: string;
    readonly demand: JobDemand;
    readonly density: number;
}

/**
 * Worth of a result for each processor-millisecond of the work that it still needs. A job of which all tasks have started
 * needs none.
 */
const densityOf = ({ worth, workMs }: JobDemand): number => worth / Math.max(workMs, 1);

/**
 * Selects the occurrences of one service that can all end in time, by deadline. Where the work before a deadline exceeds
 * the capacity, the one whose result is worth least for the work that it still needs is left out: serving everything
 * by deadline would make each of them late. While capacity is not short, all are selected. All work of a higher priority
 * comes before that of a lower one.
 */
export const selectInTime = (
    demands: readonly JobDemand[],
    { processors, busyMs }: SharedCapacity,
    wallMs: number,
): Set<Occurrence> => {
    const inTime = new Set<Occurrence>();
    const byDeadline = [...demands].sort((a, b) => a.priority - b.priority || a.targetAtMs - b.targetAtMs);
    let priority: number | undefined;
    let aheadMs = busyMs;
    let leftOutMs = 0;
    let selected = IndexedHeap.create<Selected>((a, b) => a.density < b.density);
    for (const demand of byDeadline) {
        if (demand.priority !== priority) {
            // What was left out of a higher priority still starts before this one.
            aheadMs += leftOutMs;
            leftOutMs = 0;
            selected = IndexedHeap.create<Selected>((a, b) => a.density < b.density);
            priority = demand.priority;
        }
        const leftMs = demand.targetAtMs - wallMs;
        if (demand.pathMs > leftMs) {
            leftOutMs += demand.workMs;
            continue;
        }
        const { occurrence } = demand;
        const key = `${occurrence.job.spec.id}.${occurrence.number}`;
        selected.add({ key, demand, density: densityOf(demand) });
        inTime.add(occurrence);
        aheadMs += demand.workMs;
        while (aheadMs > leftMs * processors) {
            const least = selected.peek();
            if (least === undefined) {
                break;
            }
            selected.remove(least.key);
            inTime.delete(least.demand.occurrence);
            aheadMs -= least.demand.workMs;
            leftOutMs += least.demand.workMs;
        }
    }
    const meanTargetMs =
        demands.reduce((sum, { targetMs }) => sum + targetMs, 0) / Math.max(demands.length, 1);
    const isShort = aheadMs + leftOutMs > processors * ShortTargets * meanTargetMs;
    return isShort ? inTime : new Set(demands.map(({ occurrence }) => occurrence));
};
