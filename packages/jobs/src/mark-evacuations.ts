import { acceptsStarts } from "./accepts-starts.js";
import type { JobRegistry } from "./job-registry.js";
import { limitForFleet } from "./limit-for-fleet.js";
import type { NeighbourEffects } from "./neighbour-effects.js";
import { ProjectedCapacity } from "./projected-capacity.js";
import type { QueueRules } from "./queue-rules.js";
import { remainingRunMs } from "./remaining-run-ms.js";
import { RunPhase } from "./run-phase.js";
import type { Run } from "./run.js";
import { servicesWithWaitingTasks } from "./services-with-waiting-tasks.js";
import type { Step } from "./step.js";
import { StopReason } from "./stop-reason.js";
import { unavailableTasks } from "./unavailable-tasks.js";
import type { WaitingTask } from "./waiting-task.js";
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
    /** Whether a worker that has not listed its runs may have some of the job, so that none of its tasks start. */
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
/**
 * Pause before the next search for a step whose runs have found no place. Each search scores all workers with capacity: 300
 * steps that fit nowhere made each plan of 400 workers take 10 ms longer.
 */
const SearchPauseMs = 1_000;

/** The runs that have to move together with a run: all members of its gang, or the run alone. */
const groupOf = (run: Run): readonly (Run | undefined)[] => {
    const { spec, tasks } = run.task.step;
    return spec.gang ? tasks.map(task => task.run) : [run];
};

const isSettled = (run: Run | undefined): run is Run =>
    run !== undefined &&
    run.task.run === run &&
    // A copy in another data centre continues without a move.
    (run.task.copy === undefined || run.task.copy.worker.isEvacuated) &&
    run.phase === RunPhase.Running &&
    run.worker.isReachable &&
    !run.isStopRequested &&
    // It would have to wait for a trial before it starts again.
    run.task.suspicion === 0;

/** Whether a move costs callers less than waiting for the run to end, regardless of capacity elsewhere. */
const isWorthMoving = (run: Run): boolean => {
    const { spec } = run.task.step;
    return spec.lasting || (spec.checkpoints && remainingRunMs(run) > LeaveToEndMs);
};

/** Unavailable tasks of lasting steps, counted once for each step while none of its tasks is marked. */
class Availability {
    private readonly unavailable = new Map<Step, number>();

    private constructor() {}

    static create(): Availability {
        return new Availability();
    }

    /** Share of the step's tasks that are unavailable, 0 to 1. */
    unavailableShare(step: Step): number {
        return this.count(step) / step.spec.count;
    }

    /** Whether one more task of a lasting step may be made unavailable; all of them for a gang. */
    allowsMove(step: Step): boolean {
        const { gang, count, maxUnavailable = Infinity } = step.spec;
        if (gang) {
            // All members stop together.
            return maxUnavailable >= count;
        }
        const maxMoving = Math.max(1, Math.floor(count * MaxUnavailableShare));
        return this.count(step) < Math.min(maxMoving, maxUnavailable);
    }

    /** To be called after a task of the step was marked. */
    noteMove(step: Step): void {
        this.unavailable.delete(step);
    }

    private count(step: Step): number {
        const count = this.unavailable.get(step) ?? unavailableTasks(step);
        this.unavailable.set(step, count);
        return count;
    }
}

/** Finds and sets aside capacity outside the evacuated data centres. */
class Places {
    /** A task of each step that has found no place because its step has no permit for a worker with capacity. */
    readonly withoutPermit: WaitingTask[] = [];
    private readonly capacity: ProjectedCapacity;
    /** Steps that have found no place in this plan. */
    private readonly withoutPlace = new Set<Step>();
    /** Processors outside the evacuated data centres that moves may still take, by service. */
    private readonly processorsLeft = new Map<string, number>();

    private constructor(private readonly context: EvacuationContext) {
        const { fleet } = context;
        this.capacity = ProjectedCapacity.create(fleet.workers);
        const waiting = servicesWithWaitingTasks(context);
        for (const worker of fleet.workers) {
            const { service, capacity } = worker.entry;
            if (!waiting.has(service) && acceptsStarts(worker, service)) {
                const free = capacity.processors - worker.reservedOrPending.processors;
                const left = free - MinFreeShare * capacity.processors;
                this.processorsLeft.set(service, (this.processorsLeft.get(service) ?? 0) + left);
            }
        }
    }

    static create(context: EvacuationContext): Places {
        return new Places(context);
    }

    /** Whether a move of the step's tasks may still find a place. */
    mayReserveFor(step: Step): boolean {
        return !this.withoutPlace.has(step) && this.context.nowMs >= step.nextMoveSearchMs;
    }

    /**
     * Sets capacity aside for all runs of a group of a step. Returns false, and sets nothing aside, if one of them has no
     * place.
     */
    reserve(step: Step, group: readonly Run[]): boolean {
        const rule = this.context.rules.get(step.occurrence.job.spec.queue);
        const left = rule && this.processorsLeft.get(rule.service);
        const needed = group.reduce((sum, { reservation }) => sum + reservation.processors, 0);
        if (rule === undefined || left === undefined || needed > left) {
            this.withoutPlace.add(step);
            return false;
        }
        // Runs that were found on their workers have had no permits in this process.
        step.setNeedsPermits(rule.needsPermits);
        const taken: { readonly worker: WorkerIncarnation; readonly run: Run }[] = [];
        for (const run of group) {
            const worker = this.findWorker(run, rule.service);
            if (worker === undefined) {
                this.deferSearch(run, rule.service);
                taken.forEach(each => this.capacity.release(each.worker, each.run.reservation));
                return false;
            }
            this.capacity.reserve(worker, run.reservation);
            taken.push({ worker, run });
        }
        this.processorsLeft.set(rule.service, left - needed);
        return true;
    }

    /** Ends the search of this plan for the step of a run that has found no place. */
    private deferSearch({ task }: Run, service: string): void {
        this.withoutPlace.add(task.step);
        if (task.step.permits === undefined) {
            task.step.nextMoveSearchMs = this.context.nowMs + SearchPauseMs;
        } else {
            // A permit may expire within the pause.
            this.withoutPermit.push({ task, service });
        }
    }

    private findWorker({ task, reservation }: Run, service: string): WorkerIncarnation | undefined {
        const { fleet, effects, nowMs } = this.context;
        const { step } = task;
        const workers = [...fleet.workers].filter(worker => this.capacity.fits(worker, reservation));
        return WorkerRanking.create({ workers, step, service, effects, nowMs, requiresGoodFit: true }).choose(
            task,
        );
    }
}

/** The runs to move, those that lose least first: short ones with checkpoints, then tasks of the most available steps. */
const findCandidates = ({ fleet, isBlocked }: EvacuationContext, availability: Availability): Run[] => {
    const candidates: { readonly run: Run; readonly unavailable: number }[] = [];
    for (const worker of fleet.workers) {
        for (const run of worker.isEvacuated ? worker.runs.values() : []) {
            const { step } = run.task;
            if (isSettled(run) && isWorthMoving(run) && !isBlocked(step.occurrence.job.spec.id)) {
                const unavailable = step.spec.lasting ? availability.unavailableShare(step) : -1;
                candidates.push({ run, unavailable });
            }
        }
    }
    return candidates.sort((a, b) => a.unavailable - b.unavailable).map(({ run }) => run);
};

/**
 * Marks runs in evacuated data centres that move to others: lasting tasks, and short ones that can continue from a
 * checkpoint and would not end soon. A run is marked only while no task of its service waits for capacity and another data
 * centre has capacity to spare: a moved task that finds none would wait, and preempt others in turn. Called after the
 * starts of the plan. Returns tasks that could move if their steps had a permit for another worker, one for each step.
 */
export const markEvacuations = (context: EvacuationContext): readonly WaitingTask[] => {
    const { fleet } = context;
    if (fleet.evacuatedDataCentres.size === 0) {
        return [];
    }
    const maxMoves = limitForFleet(MaxMovesPerPlan, fleet.size);
    const availability = Availability.create();
    const candidates = findCandidates(context, availability);
    if (candidates.length === 0) {
        return [];
    }
    const places = Places.create(context);
    let moves = 0;
    for (const run of candidates) {
        const { step } = run.task;
        if (moves >= maxMoves) {
            break;
        }
        // A member of a gang that was marked before has marked all others.
        if (run.isStopRequested || !places.mayReserveFor(step)) {
            continue;
        }
        const group = groupOf(run);
        const mayMove = group.every(isSettled) && (!step.spec.lasting || availability.allowsMove(step));
        if (mayMove && places.reserve(step, group)) {
            group.forEach(member => (member.stopReason = StopReason.Evacuated));
            availability.noteMove(step);
            moves += group.length;
        }
    }
    return places.withoutPermit;
};
