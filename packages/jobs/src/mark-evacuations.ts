import { allowsUnavailableTask } from "./allows-unavailable-task.js";
import { isSuitable } from "./is-suitable.js";
import { limitForFleet } from "./limit-for-fleet.js";
import { ProjectedCapacity } from "./projected-capacity.js";
import type { QueueRules } from "./queue-rules.js";
import { RunPhase } from "./run-phase.js";
import type { Run } from "./run.js";
import type { Step } from "./step.js";
import { StopReason } from "./stop-reason.js";
import { unavailableTasks } from "./unavailable-tasks.js";
import type { WorkerFleet } from "./worker-fleet.js";
import type { WorkerIncarnation } from "./worker-incarnation.js";

/** What the marks of one plan depend on. */
interface EvacuationContext {
    readonly fleet: WorkerFleet;
    readonly rules: QueueRules;
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
const MinSpeed = 0.02;

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

    private constructor(private readonly context: EvacuationContext) {
        this.capacity = ProjectedCapacity.create(context.fleet.workers);
    }

    static create(context: EvacuationContext): Places {
        return new Places(context);
    }

    /** Sets capacity aside for all runs of a group. Returns false, and sets nothing aside, if one of them has no place. */
    reserve(group: readonly Run[]): boolean {
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
        return true;
    }

    private findWorker({ task, reservation }: Run): WorkerIncarnation | undefined {
        const { fleet, rules, nowMs } = this.context;
        const rule = rules.get(task.step.occurrence.job.spec.queue);
        if (rule === undefined || this.withoutPlace.has(task.step)) {
            return undefined;
        }
        for (const worker of fleet.workers) {
            if (
                this.capacity.fits(worker, reservation) &&
                isSuitable(worker, task, rule.service, nowMs) &&
                worker.trialTask === undefined
            ) {
                return worker;
            }
        }
        return undefined;
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
 * checkpoint and would not end soon. A run is marked only if another data centre has capacity for it that no waiting
 * task takes, so this is called after the starts of the plan have been decided.
 */
export const markEvacuations = (context: EvacuationContext): void => {
    const { fleet } = context;
    if (fleet.evacuatedDataCentres.size === 0) {
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
