import { acceptsStarts } from "./accepts-starts.js";
import { allowsUnavailableTask } from "./allows-unavailable-task.js";
import { isReady } from "./is-ready.js";
import type { JobRegistry } from "./job-registry.js";
import { limitForFleet } from "./limit-for-fleet.js";
import type { NeighbourEffects } from "./neighbour-effects.js";
import { ProjectedCapacity } from "./projected-capacity.js";
import type { QueueRules } from "./queue-rules.js";
import { RunPhase } from "./run-phase.js";
import type { Run } from "./run.js";
import type { Step } from "./step.js";
import { StopReason } from "./stop-reason.js";
import { unavailableTasks } from "./unavailable-tasks.js";
import type { WorkerFleet } from "./worker-fleet.js";
import type { WorkerIncarnation } from "./worker-incarnation.js";
import { WorkerRanking } from "./worker-ranking.js";

/** What the marks of one plan depend on. */
interface EvacuationContext {
    readonly jobs: JobRegistry;
    readonly fleet: WorkerFleet;
    readonly rules: QueueRules;
    readonly effects: NeighbourEffects;
    readonly nowMs: number;
    /** Whether the tasks of a job cannot start now. */
    readonly isBlocked: (job: string) => boolean;
}

/** A short run that is expected to end within this time is left to end, since a move takes about a second itself. */
const LeaveToEndMs = 5_000;
/** Largest share of a lasting step's tasks that an evacuation makes unavailable at the same time, at least one task. */
const MaxUnavailableShare = 0.25;
/** Most moves of one plan; more in a large fleet. Each costs the owner a stop and a start beside its other calls. */
const MaxMovesPerPlan = 1;
/** Share of the processors outside the evacuated data centres that moves leave free for new work. */
const MinFreeShare = 0.1;
const MinSpeed = 0.02;

/** Whether a task that reserves processors waits for a worker. */
const hasWaitingTasks = ({ jobs, isBlocked, nowMs }: EvacuationContext): boolean => {
    for (const job of jobs.undecided) {
        if (isBlocked(job.spec.id)) {
            continue;
        }
        for (const step of job.openSteps()) {
            if (!step.spec.filler && step.tasks.some(task => isReady(task, nowMs))) {
                return true;
            }
        }
    }
    return false;
};

/** Expected time until a short run ends where it is, in milliseconds. */
const remainingMs = ({ progressPercent, task, worker }: Run): number =>
    ((1 - progressPercent / 100) * task.step.spec.estimatedMs) / Math.max(worker.speed, MinSpeed);

/** The runs that have to move together with a run: all members of its gang, or the run alone. */
const groupOf = (run: Run): readonly (Run | undefined)[] => {
    const { spec, tasks } = run.task.step;
    return spec.gang ? tasks.map(task => task.run) : [run];
};

const isSettled = (run: Run | undefined): run is Run =>
    run !== undefined &&
    run.task.run === run &&
    // The copy, or its original, continues without a move.
    run.task.copy === undefined &&
    run.phase === RunPhase.Running &&
    run.worker.isReachable &&
    !run.isStopRequested &&
    // It would have to wait for a trial before it starts again.
    run.task.suspicion === 0;

/** Whether a move costs callers less than waiting for the run to end, regardless of capacity elsewhere. */
const isWorthMoving = (run: Run): boolean => {
    const { spec } = run.task.step;
    return spec.lasting || (spec.checkpoints && remainingMs(run) > LeaveToEndMs);
};

/** Whether a lasting step keeps enough of its tasks at work without one more of them. */
const staysAvailable = (step: Step): boolean => {
    const { gang, count, maxUnavailable } = step.spec;
    if (gang) {
        // All members stop together.
        return maxUnavailable === undefined || maxUnavailable >= count;
    }
    const maxMoving = Math.max(1, Math.floor(count * MaxUnavailableShare));
    return allowsUnavailableTask(step) && unavailableTasks(step) < maxMoving;
};

/** Finds and sets aside capacity outside the evacuated data centres. */
class Places {
    private readonly capacity: ProjectedCapacity;
    /** Steps that have found no place in this plan. */
    private readonly withoutPlace = new Set<Step>();
    /** Processors outside the evacuated data centres that moves may still take. */
    private processorsLeft: number;

    private constructor(private readonly context: EvacuationContext) {
        const { fleet } = context;
        this.capacity = ProjectedCapacity.create(fleet.workers);
        this.processorsLeft = 0;
        for (const worker of fleet.workers) {
            if (acceptsStarts(worker, worker.entry.service)) {
                const { capacity } = worker.entry;
                const free = capacity.processors - worker.reservedOrPending.processors;
                this.processorsLeft += free - MinFreeShare * capacity.processors;
            }
        }
    }

    static create(context: EvacuationContext): Places {
        return new Places(context);
    }

    /** Sets capacity aside for all runs of a group. Returns false, and sets nothing aside, if one of them has no place. */
    reserve(group: readonly Run[]): boolean {
        const needed = group.reduce((sum, { reservation }) => sum + reservation.processors, 0);
        if (needed > this.processorsLeft) {
            return false;
        }
        const taken: { readonly worker: WorkerIncarnation; readonly run: Run }[] = [];
        for (const run of group) {
            const worker = this.findWorker(run);
            if (worker === undefined) {
                this.withoutPlace.add(run.task.step);
                taken.forEach(each => this.capacity.release(each.worker, each.run.reservation));
                return false;
            }
            this.capacity.reserve(worker, run.reservation);
            taken.push({ worker, run });
        }
        this.processorsLeft -= needed;
        return true;
    }

    private findWorker({ task, reservation }: Run): WorkerIncarnation | undefined {
        const { fleet, rules, effects, nowMs } = this.context;
        const { step } = task;
        const rule = rules.get(step.occurrence.job.spec.queue);
        if (rule === undefined || this.withoutPlace.has(step)) {
            return undefined;
        }
        const workers = [...fleet.workers].filter(worker => this.capacity.fits(worker, reservation));
        const { service } = rule;
        return WorkerRanking.create({ workers, step, service, effects, nowMs, requiresGoodFit: true }).choose(
            task,
        );
    }
}

/** The runs to move, those that lose least first: short ones with checkpoints, then tasks of the most available steps. */
const findCandidates = ({ fleet, isBlocked }: EvacuationContext): Run[] => {
    const candidates: { readonly run: Run; readonly unavailable: number }[] = [];
    for (const worker of fleet.workers) {
        for (const run of worker.isEvacuated ? worker.runs.values() : []) {
            const { step } = run.task;
            if (isSettled(run) && isWorthMoving(run) && !isBlocked(step.occurrence.job.spec.id)) {
                const unavailable = step.spec.lasting ? unavailableTasks(step) / step.spec.count : -1;
                candidates.push({ run, unavailable });
            }
        }
    }
    return candidates.sort((a, b) => a.unavailable - b.unavailable).map(({ run }) => run);
};

/**
 * Marks runs in evacuated data centres that move to others: lasting tasks, and short ones that can continue from a
 * checkpoint and would not end soon. A run is marked only while no task waits and another data centre has capacity to
 * spare: a moved task that finds none would wait, and preempt others in turn. Called after the starts of the plan.
 */
export const markEvacuations = (context: EvacuationContext): void => {
    const { fleet } = context;
    if (fleet.evacuatedDataCentres.size === 0 || hasWaitingTasks(context)) {
        return;
    }
    const maxMoves = limitForFleet(MaxMovesPerPlan, fleet.size);
    const places = Places.create(context);
    let moves = 0;
    for (const run of findCandidates(context)) {
        if (moves >= maxMoves) {
            return;
        }
        const { step } = run.task;
        const group = groupOf(run);
        // A member of a gang that was marked before has marked all others.
        const mayMove = !run.isStopRequested && group.every(isSettled);
        if (mayMove && (!step.spec.lasting || staysAvailable(step)) && places.reserve(group)) {
            group.forEach(member => (member.stopReason = StopReason.Evacuated));
            moves += group.length;
        }
    }
};
