import { CapacityIndex } from "./capacity-index.js";
import { earliestRoomMs } from "./earliest-room-ms.js";
import { explainWorkers } from "./explain-workers.js";
import type { ExplanationContext } from "./explanation-context.js";
import { isReady } from "./is-ready.js";
import { Job } from "./job.js";
import type { JobSpec } from "./job-spec.js";
import type { OrderCandidate } from "./order-candidate.js";
import { orderCandidateOf } from "./order-candidate-of.js";
import type { PlacementExplanation } from "./placement-explanation.js";
import { PlacementOutcome } from "./placement-outcome.js";
import type { QueueRule } from "./queue-rule.js";
import type { Step } from "./step.js";
import { workAheadOf } from "./work-ahead-of.js";
import type { WorkerIncarnation } from "./worker-incarnation.js";

/** Most workers that one explanation looks at. */
const MaxWorkers = 10_000;

/** The step that goes first of a job that no owner knows; undefined if none may start. */
const firstStep = (
    job: Job,
    rule: QueueRule,
    { order, nowMs, wallMs }: ExplanationContext,
): Step | undefined => {
    let first: OrderCandidate | undefined;
    for (const step of job.openSteps()) {
        const candidate = orderCandidateOf(step, rule, nowMs);
        const isReadyNow = step.tasks.some(task => isReady(task, nowMs));
        if (isReadyNow && (first === undefined || order.comparisonWith(first, wallMs)(candidate) < 0)) {
            first = candidate;
        }
    }
    return first?.step;
};

/** Expected times of a step whose first task starts at `startMs`, in wall-clock time. */
const expectedTimes = (
    step: Step,
    startMs: number,
    worker: WorkerIncarnation | undefined,
): Partial<PlacementExplanation> => {
    if (startMs === Infinity) {
        return {};
    }
    const { spec, occurrence, criticalPathMs } = step;
    const taskMs = spec.estimatedMs / (worker?.speed ?? 1);
    const jobMs = taskMs + criticalPathMs - spec.estimatedMs;
    const endsAsJob = occurrence.steps.every(other => !other.spec.lasting);
    return {
        expectedStartMs: Math.round(startMs),
        ...(spec.lasting ? {} : { expectedTaskEndMs: Math.round(startMs + taskMs) }),
        ...(endsAsJob ? { expectedJobEndMs: Math.round(startMs + jobMs) } : {}),
    };
};

/** Explains a step that may start, according to the workers. */
const explainStep = (
    step: Step,
    rule: QueueRule,
    context: ExplanationContext,
): Omit<PlacementExplanation, "job" | "queue"> => {
    const { fleet, nowMs, wallMs } = context;
    const { service } = rule;
    const workers: WorkerIncarnation[] = [];
    for (const worker of fleet.workers) {
        if (workers.length === MaxWorkers) {
            break;
        }
        workers.push(worker);
    }
    const capacity = CapacityIndex.create(workers);
    const { suitable, excluded, best } = explainWorkers(step, service, workers, capacity, context);
    const { processors, memoryMb, accelerators } = step.reservation;
    const shared = {
        step: {
            number: step.number,
            count: step.spec.count,
            reserves: { processors, memoryMb, accelerators },
        },
        ahead: workAheadOf(step, rule, capacity, context),
        workers: { total: workers.length, suitable, excluded, isPartial: workers.length < fleet.size },
    };
    if (best !== undefined) {
        const { id, zone, rack, capacity: size } = best.entry;
        const freeProcessors = size.processors - best.reservedOrPending.processors;
        return {
            ...shared,
            outcome: PlacementOutcome.Starts,
            worker: { id, zone, rack, freeProcessors },
            ...expectedTimes(step, wallMs, best),
        };
    }
    const ofService = workers.filter(({ entry }) => entry.service === service);
    if (!ofService.some(({ entry }) => step.reservation.fitsIn(entry.capacity))) {
        const reason =
            ofService.length === 0
                ? `no worker serves ${service}`
                : `no worker of ${service} is large enough for a task`;
        return { ...shared, outcome: PlacementOutcome.FitsNoWorker, reason };
    }
    const hasPermit = workers.some(worker => step.isPermittedOn(worker, nowMs));
    const roomMs = hasPermit ? earliestRoomMs(workers, step, service, nowMs) : Infinity;
    return {
        ...shared,
        outcome: PlacementOutcome.Waits,
        reason: waitReasonOf(step, hasPermit, suitable),
        ...expectedTimes(step, wallMs + roomMs - nowMs, undefined),
    };
};

const waitReasonOf = ({ spec }: Step, hasPermit: boolean, suitable: number): string => {
    if (!hasPermit) {
        return "the permit service decides on the workers once the job is accepted";
    }
    return spec.gang && suitable > 0
        ? `the ${spec.count} members of the gang do not fit on the ${suitable} suitable workers together`
        : "no worker can take a task now";
};

/**
 * Explains where a job would be placed if it were accepted now; undefined if its queue is unknown. Reads the state of
 * the cell and changes nothing: the job is built apart from the registry, and no task of another one is touched. Costs
 * about as much as one step in a plan, plus a bounded look at the steps ahead.
 */
export const explainPlacement = (
    spec: JobSpec,
    context: ExplanationContext,
): PlacementExplanation | undefined => {
    const { jobs, rules, wallMs } = context;
    const queue = rules.get(spec.queue);
    if (queue === undefined) {
        return undefined;
    }
    const shared = {
        job: spec.id,
        queue,
        ahead: { steps: 0, tasks: 0, processorMs: 0, waitingSteps: 0, startableSteps: 0, isPartial: false },
        workers: { total: 0, suitable: 0, excluded: [], isPartial: false },
    };
    const known = jobs.get(spec.id);
    if (known !== undefined) {
        const reason = `the job was accepted earlier and is ${known.state}`;
        return { ...shared, outcome: PlacementOutcome.Known, reason };
    }
    if (!jobs.hasRoomFor(spec)) {
        const reason = "the queue has as many open tasks as an owner keeps";
        return { ...shared, outcome: PlacementOutcome.NotOpen, reason };
    }
    const job = Job.create(spec);
    job.openDueOccurrences(wallMs);
    const step = firstStep(job, queue, context);
    if (step === undefined) {
        const dueMs = job.dueAtMs(0);
        const reason = dueMs > wallMs ? "the job is not due yet" : "no step of the job may start";
        return {
            ...shared,
            outcome: PlacementOutcome.NotOpen,
            reason,
            ...(dueMs > wallMs ? { expectedStartMs: dueMs } : {}),
        };
    }
    step.setNeedsPermits(queue.needsPermits);
    return { ...shared, ...explainStep(step, queue, context) };
};
