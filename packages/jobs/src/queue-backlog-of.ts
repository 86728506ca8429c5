import type { JobRegistry } from "./job-registry.js";
import { mayAcceptStartsSoon } from "./may-accept-starts-soon.js";
import { maxUsefulTargets } from "./max-useful-targets.js";
import type { Occurrence } from "./occurrence.js";
import type { QueueRule } from "./queue-rule.js";
import type { QueueRules } from "./queue-rules.js";
import { remainingWorkMs } from "./remaining-work-ms.js";
import { serviceCapacities } from "./service-capacities.js";
import { targetTimeMs } from "./target-time-ms.js";
import type { QueueBacklog } from "./queue-backlog.js";
import type { WorkerFleet } from "./worker-fleet.js";

/** The state of a cell from which a backlog is computed. `nowMs` is monotonic, `wallMs` in milliseconds since 1970. */
interface CellWork {
    readonly jobs: JobRegistry;
    readonly fleet: WorkerFleet;
    readonly rules: QueueRules;
    readonly nowMs: number;
    readonly wallMs: number;
}

/** Latest start of an occurrence for a result in time or, once that has passed, of use; undefined if that has passed too. */
const latestStartMs = (
    { dueAtMs, criticalPathMs: pathMs }: Occurrence,
    rule: QueueRule,
    wallMs: number,
): number | undefined => {
    const targetMs = targetTimeMs(rule, pathMs);
    const inTimeMs = dueAtMs + targetMs - pathMs;
    const usefulMs = dueAtMs + maxUsefulTargets * targetMs - pathMs;
    return wallMs <= inTimeMs ? inTimeMs : wallMs <= usefulMs ? usefulMs : undefined;
};

/**
 * Computes the backlog of a queue's service for jobs of the queue's priority: running work, and due work of this priority
 * and higher ones. Work whose result cannot be of use any more starts after new jobs and is not counted.
 */
export const queueBacklogOf = (
    rule: QueueRule,
    { jobs, fleet, rules, nowMs, wallMs }: CellWork,
): QueueBacklog => {
    // A short loss of links to workers must not refuse jobs that can end in time once they answer again.
    const capacities = serviceCapacities(fleet, nowMs, mayAcceptStartsSoon);
    const { processors, busyMs } = capacities.get(rule.service) ?? {
        processors: 0,
        busyMs: 0,
    };
    let firstMs = busyMs;
    const waiting: { readonly startByMs: number; readonly workMs: number }[] = [];
    for (const job of jobs.undecided) {
        const other = rules.get(job.spec.queue);
        if (other === undefined || other.service !== rule.service || other.priority > rule.priority) {
            continue;
        }
        for (const occurrence of job.openOccurrences.values()) {
            const startByMs = latestStartMs(occurrence, other, wallMs);
            if (occurrence.number >= job.nextDueOccurrence || startByMs === undefined) {
                continue;
            }
            const workMs = remainingWorkMs(occurrence, () => 1);
            if (other.priority < rule.priority) {
                firstMs += workMs;
            } else {
                waiting.push({ startByMs, workMs });
            }
        }
    }
    waiting.sort((a, b) => a.startByMs - b.startByMs);
    let sumMs = 0;
    const byLatestStart = waiting.map(({ startByMs, workMs }) => ({ startByMs, sumMs: (sumMs += workMs) }));
    return { processors, firstMs, byLatestStart };
};
