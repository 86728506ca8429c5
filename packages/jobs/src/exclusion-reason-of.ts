import { acceptsStarts } from "./accepts-starts.js";
import { ExclusionReason } from "./exclusion-reason.js";
import { isOpenToStep } from "./is-open-to-step.js";
import type { Step } from "./step.js";
import type { WorkerIncarnation } from "./worker-incarnation.js";

/** Names the condition of `acceptsStarts` that a worker does not meet. */
const startReasonOf = (worker: WorkerIncarnation, service: string): ExclusionReason => {
    const { entry } = worker;
    const conditions: [isExcluded: boolean, reason: ExclusionReason][] = [
        [entry.service !== service, ExclusionReason.OtherService],
        [entry.isDraining, ExclusionReason.Draining],
        [worker.isEvacuated, ExclusionReason.Evacuated],
        [!worker.isRegistered, ExclusionReason.NotRegistered],
        [!worker.isReachable, ExclusionReason.Unreachable],
        [!worker.hasListedRuns, ExclusionReason.Unread],
        [!worker.mayExtendLease, ExclusionReason.LeaseNotExtended],
        [worker.isStartBlocked, ExclusionReason.NotInRoster],
    ];
    return conditions.find(([isExcluded]) => isExcluded)?.[1] ?? ExclusionReason.Other;
};

/** Names the condition of `isOpenToStep` that a worker which accepts starts does not meet. */
const stepReasonOf = (worker: WorkerIncarnation, { spec, name }: Step, nowMs: number): ExclusionReason => {
    if (spec.requiredLabel !== undefined && !worker.entry.labels.includes(spec.requiredLabel)) {
        return ExclusionReason.NoLabel;
    }
    if (spec.maxPerWorker !== undefined && worker.countTasksOfStep(name) >= spec.maxPerWorker) {
        return ExclusionReason.MaxPerWorker;
    }
    return nowMs < worker.avoidUntilMs ? ExclusionReason.Avoided : ExclusionReason.Stalled;
};

/** Names what a worker lacks for `hasCapacityFor`. */
const capacityReasonOf = (worker: WorkerIncarnation, step: Step): ExclusionReason => {
    const { capacity } = worker.entry;
    const { reservation } = step;
    if (!reservation.fitsIn(capacity)) {
        return ExclusionReason.TooSmall;
    }
    const { reservedOrPending } = worker;
    if (reservation.fitsBeside(reservedOrPending, capacity)) {
        return ExclusionReason.Held;
    }
    const { processors, memoryMb } = reservedOrPending.plus(reservation);
    if (processors > capacity.processors) {
        return ExclusionReason.NoProcessors;
    }
    return memoryMb > capacity.memoryMb ? ExclusionReason.NoMemory : ExclusionReason.NoAccelerators;
};

/**
 * Returns why the planner would not start a task of a new step on a worker; undefined if only its fit can exclude it.
 * The planner's predicates decide; the conditions listed here only name the reason.
 */
export const exclusionReasonOf = (
    worker: WorkerIncarnation,
    step: Step,
    service: string,
    nowMs: number,
): ExclusionReason | undefined => {
    if (!acceptsStarts(worker, service)) {
        return startReasonOf(worker, service);
    }
    if (!isOpenToStep(worker, step, service, nowMs)) {
        return stepReasonOf(worker, step, nowMs);
    }
    if (!worker.hasCapacityFor(step)) {
        return capacityReasonOf(worker, step);
    }
    if (!step.isPermittedOn(worker, nowMs)) {
        return ExclusionReason.NoPermit;
    }
    return worker.trialTask === undefined ? undefined : ExclusionReason.OnTrial;
};
