import type { HeldWorkers } from "./held-workers.js";
import { isStarved } from "./is-starved.js";
import { limitForFleet } from "./limit-for-fleet.js";
import type { NeighbourEffects } from "./neighbour-effects.js";
import { PreemptionCandidates } from "./preemption-candidates.js";
import { preemptRun } from "./preempt-run.js";
import type { QueueRules } from "./queue-rules.js";
import type { Run } from "./run.js";
import type { Step } from "./step.js";
import type { Task } from "./task.js";
import type { WaitingTask } from "./waiting-task.js";
import type { WorkerFleet } from "./worker-fleet.js";

/** A lasting task keeps its worker for at least this long before another lasting one takes its place. */
const MinRunTimeMs = 5_000;
/** Most lasting tasks that one plan preempts for others; more in a large fleet. */
const MaxSwapsPerPlan = 2;

/** What the swaps of one plan depend on. */
interface SwapContext {
    readonly fleet: WorkerFleet;
    readonly held: HeldWorkers;
    readonly rules: QueueRules;
    readonly effects: NeighbourEffects;
    readonly nowMs: number;
    /** Whether the tasks of a job cannot start now. */
    readonly isBlocked: (job: string) => boolean;
}

/** Priority of a task's queue; tasks of a queue without a rule go last. */
const priorityOf = ({ step }: Task, rules: QueueRules): number =>
    rules.get(step.occurrence.job.spec.queue)?.priority ?? Infinity;

/**
 * Preempts lasting tasks for others that have waited long and fit nowhere. Where lasting tasks request more than there
 * is, each of them is unavailable for some time instead of a few for good; those of more urgent queues do not make way.
 */
export const swapLastingTasks = (overdue: readonly WaitingTask[], context: SwapContext): void => {
    const { held, rules, nowMs } = context;
    const starved = overdue.filter(({ task }) => isStarved(task, nowMs));
    if (starved.length === 0) {
        return;
    }
    const candidates = PreemptionCandidates.create({
        ...context,
        minRunTimeMs: MinRunTimeMs,
        includesAdopted: true,
    });
    const withoutCandidate = new Set<Step>();
    const maxSwaps = limitForFleet(MaxSwapsPerPlan, context.fleet.size);
    let swaps = 0;
    for (const { task, service } of starved) {
        if (swaps >= maxSwaps) {
            break;
        }
        if (withoutCandidate.has(task.step)) {
            continue;
        }
        const priority = priorityOf(task, rules);
        // A worker is held for one task, so capacity that is freed on a held one would be left to others.
        const isAllowed = ({ worker, task: other }: Run): boolean =>
            worker.heldFor === undefined && priorityOf(other, rules) >= priority;
        const run = candidates.takeFor(task, service, isAllowed);
        if (run === undefined) {
            // What is held stays unused until its short runs end, so a worker is held only if nothing can make way.
            if (!held.holdForEnds(task, service, nowMs)) {
                withoutCandidate.add(task.step);
            }
        } else {
            preemptRun(run, nowMs);
            held.hold(run.worker, task.step, nowMs);
            swaps++;
        }
    }
};
