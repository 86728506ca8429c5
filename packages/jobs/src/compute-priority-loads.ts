import type { JobRegistry } from "./job-registry.js";
import type { PriorityLoad } from "./priority-load.js";
import type { QueueRules } from "./queue-rules.js";
import type { StartOrder } from "./start-order.js";
import { StartOrderName } from "./start-order-name.js";
import { StartRule } from "./start-rule.js";
import { targetTimeMs } from "./target-time-ms.js";
import { tasksWithoutRun } from "./tasks-without-run.js";

/** Counts the waiting tasks and the late jobs of a cell for each queue priority. `wallMs` is in milliseconds since 1970. */
export const computePriorityLoads = (
    jobs: JobRegistry,
    rules: QueueRules,
    order: StartOrder,
    wallMs: number,
): readonly PriorityLoad[] => {
    const loads = new Map<number, { waiting: Map<StartRule | "deadline", number>; lateJobs: number }>();
    for (const job of jobs.undecided) {
        const rule = rules.get(job.spec.queue);
        if (rule === undefined) {
            continue;
        }
        const load = loads.get(rule.priority) ?? { waiting: new Map(), lateJobs: 0 };
        loads.set(rule.priority, load);
        const isLate = [...job.openOccurrences.values()].some(({ steps, dueAtMs, criticalPathMs }) => {
            const targetAtMs = dueAtMs + targetTimeMs(rule, criticalPathMs);
            return steps.every(({ spec }) => !spec.lasting) && wallMs > targetAtMs;
        });
        load.lateJobs += isLate ? 1 : 0;
        for (const step of job.openSteps()) {
            const count = step.spec.lasting ? 0 : tasksWithoutRun(step);
            const decidedBy =
                order.name === StartOrderName.Deadline
                    ? "deadline"
                    : (order.ruleFor(step) ?? StartRule.InTime);
            if (count > 0) {
                load.waiting.set(decidedBy, (load.waiting.get(decidedBy) ?? 0) + count);
            }
        }
    }
    return [...loads].map(([priority, load]) => ({ priority, ...load }));
};
