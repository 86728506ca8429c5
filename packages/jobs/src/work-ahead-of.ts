import type { CapacityIndex } from "./capacity-index.js";
import type { ExplanationContext } from "./explanation-context.js";
import { isReady } from "./is-ready.js";
import { orderCandidateOf } from "./order-candidate-of.js";
import type { Step } from "./step.js";
import type { QueueRule } from "./queue-rule.js";
import type { WorkAhead } from "./work-ahead.js";
import { WorkerRanking } from "./worker-ranking.js";

/** Most open steps that one explanation looks at; a plan looks at all of them every 100 ms. */
const MaxSteps = 5_000;
/** Most steps ahead for which workers are looked for: each costs about as much as in a plan. */
const MaxRankedSteps = 16;

/** Computes what goes before a new step. Changes nothing, unlike the planner, which also counts how long tasks wait. */
export const workAheadOf = (
    step: Step,
    rule: QueueRule,
    capacity: CapacityIndex,
    { jobs, rules, effects, order, isBlocked, nowMs, wallMs }: ExplanationContext,
): WorkAhead => {
    const compareWithNew = order.comparisonWith(orderCandidateOf(step, rule, nowMs), wallMs);
    const ahead = { steps: 0, tasks: 0, processorMs: 0, waitingSteps: 0, startableSteps: 0 };
    let looked = 0;
    for (const job of jobs.undecided) {
        const otherRule = rules.get(job.spec.queue);
        if (otherRule?.service !== rule.service || isBlocked(job.spec.id)) {
            continue;
        }
        for (const other of job.openSteps()) {
            if (++looked > MaxSteps) {
                return { ...ahead, isPartial: true };
            }
            const ready = other.tasks.filter(task => isReady(task, nowMs));
            const [first] = ready;
            if (first === undefined) {
                continue;
            }
            ahead.waitingSteps++;
            // Steps of equal rank start in the order in which their jobs were accepted, so that a new one is the last.
            if (compareWithNew(orderCandidateOf(other, otherRule, nowMs)) > 0) {
                continue;
            }
            ahead.steps++;
            ahead.tasks += ready.length;
            ahead.processorMs += ready.length * other.reservation.processors * other.spec.estimatedMs;
            if (ahead.steps <= MaxRankedSteps) {
                const workers = capacity.candidates(other, true);
                const { service } = otherRule;
                const options = { workers, step: other, service, effects, nowMs, requiresGoodFit: true };
                const worker = first.suspicion > 0 ? undefined : WorkerRanking.create(options).choose(first);
                ahead.startableSteps += worker === undefined ? 0 : 1;
            }
        }
    }
    return { ...ahead, isPartial: false };
};
