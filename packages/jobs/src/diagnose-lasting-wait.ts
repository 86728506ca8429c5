import { acceptsStarts } from "./accepts-starts.js";
import { isReady } from "./is-ready.js";
import { isSuitable } from "./is-suitable.js";
import { isSuitableIgnoringPermits } from "./is-suitable-ignoring-permits.js";
import type { LastingWait } from "./lasting-wait.js";
import { LastingWaitReason } from "./lasting-wait-reason.js";
import { mayRelaxFit } from "./may-relax-fit.js";
import type { NeighbourEffects } from "./neighbour-effects.js";
import type { QueueRules } from "./queue-rules.js";
import type { Task } from "./task.js";
import type { WorkerFleet } from "./worker-fleet.js";
import type { WorkerIncarnation } from "./worker-incarnation.js";
import { WorkerRanking } from "./worker-ranking.js";

/** What the planner decides on. */
interface DiagnosisContext {
    readonly fleet: WorkerFleet;
    readonly rules: QueueRules;
    readonly effects: NeighbourEffects;
    /** Workers of previous owners that are not read and on which tasks of a job may be running. */
    readonly unreadWorkersFor: (job: string) => number;
}

/** The workers that are left after each condition for a start. */
interface Candidates {
    readonly reachable: readonly WorkerIncarnation[];
    readonly suitable: readonly WorkerIncarnation[];
    readonly withCapacity: readonly WorkerIncarnation[];
    readonly permitted: readonly WorkerIncarnation[];
}

const findCandidates = (fleet: WorkerFleet, task: Task, service: string, nowMs: number): Candidates => {
    const reachable = [...fleet.workers].filter(worker => acceptsStarts(worker, service));
    const suitable = reachable.filter(worker => isSuitableIgnoringPermits(worker, task, service, nowMs));
    const withCapacity = suitable.filter(worker => worker.hasCapacityFor(task.step));
    const permitted = withCapacity.filter(worker => isSuitable(worker, task, service, nowMs));
    return { reachable, suitable, withCapacity, permitted };
};

/** The first reason that applies to a task whose queue has a rule. */
const findReason = (
    task: Task,
    service: string,
    { reachable, suitable, withCapacity, permitted }: Candidates,
    { effects, unreadWorkersFor }: DiagnosisContext,
    nowMs: number,
): LastingWaitReason => {
    const { step } = task;
    if (task.run !== undefined) {
        return LastingWaitReason.NoAnswer;
    }
    if (unreadWorkersFor(step.occurrence.job.spec.id) > 0) {
        return LastingWaitReason.Unread;
    }
    if (!isReady(task, nowMs)) {
        return LastingWaitReason.Delayed;
    }
    if (reachable.length === 0) {
        return LastingWaitReason.Unreachable;
    }
    if (suitable.length === 0) {
        return LastingWaitReason.Restricted;
    }
    if (withCapacity.length === 0) {
        return LastingWaitReason.NoCapacity;
    }
    if (permitted.length === 0) {
        return LastingWaitReason.NoPermit;
    }
    const mayStartOn = (requiresGoodFit: boolean): boolean =>
        WorkerRanking.create({ workers: permitted, step, service, effects, nowMs, requiresGoodFit }).choose(
            task,
        ) !== undefined;
    if (!mayStartOn(true)) {
        if (!mayStartOn(false)) {
            return LastingWaitReason.KeptForSameImages;
        }
        if (!mayRelaxFit(step, nowMs)) {
            return LastingWaitReason.PoorFit;
        }
    }
    if (task.suspicion > 0) {
        return LastingWaitReason.Trial;
    }
    return step.spec.gang ? LastingWaitReason.Gang : LastingWaitReason.NextPlan;
};

const roundToHundredths = (value: number): number => Math.round(value * 100) / 100;

/**
 * Finds out why a lasting task has no confirmed run, with the conditions by which the planner decides. Takes time for
 * each worker, so it is meant for a few tasks.
 */
export const diagnoseLastingWait = (
    task: Task,
    waitedMs: number,
    context: DiagnosisContext,
    nowMs: number,
): LastingWait => {
    const { step } = task;
    const service = context.rules.get(step.occurrence.job.spec.queue)?.service;
    const candidates =
        service === undefined
            ? { reachable: [], suitable: [], withCapacity: [], permitted: [] }
            : findCandidates(context.fleet, task, service, nowMs);
    const { reachable, suitable, withCapacity } = candidates;
    const free = suitable.map(
        ({ entry, reservedOrPending }) => entry.capacity.processors - reservedOrPending.processors,
    );
    return {
        task: task.name,
        waitedMs: Math.round(waitedMs),
        reason:
            service === undefined
                ? LastingWaitReason.NoRule
                : findReason(task, service, candidates, context, nowMs),
        delayMs: nowMs < task.startableAtMs ? Math.round(task.startableAtMs - nowMs) : undefined,
        worker: task.run?.worker.entry.id,
        unread: context.unreadWorkersFor(step.occurrence.job.spec.id) || undefined,
        processors: step.reservation.processors,
        reachable: reachable.length,
        suitable: suitable.length,
        withCapacity: withCapacity.length,
        maxFree: roundToHundredths(Math.max(0, ...free)),
        free: roundToHundredths(free.reduce((sum, processors) => sum + Math.max(0, processors), 0)),
    };
};
