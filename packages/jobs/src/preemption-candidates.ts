import { allowsUnavailableTask } from "./allows-unavailable-task.js";
import { isSuitable } from "./is-suitable.js";
import type { NeighbourEffects } from "./neighbour-effects.js";
import { RunPhase } from "./run-phase.js";
import type { Run } from "./run.js";
import { servingImages } from "./serving-images.js";
import type { Task } from "./task.js";
import type { WorkerFleet } from "./worker-fleet.js";

/** A lasting task is not preempted for short ones before it has run for this long. */
const DefaultMinRunTimeMs = 3_000;
/** A task that rules out at least this share of filler images on its worker is preempted first. */
const MinMisplacedGain = 0.1;

/** A lasting task that can be preempted. */
interface Candidate {
    readonly run: Run;
    readonly isMisplaced: boolean;
}

/** What the candidates of one plan depend on. */
interface CandidateContext {
    readonly fleet: WorkerFleet;
    readonly effects: NeighbourEffects;
    readonly nowMs: number;
    /** Shortest time for which a candidate has run, in milliseconds. */
    readonly minRunTimeMs?: number;
    /** Whether runs that a new owner found, which have run for an unknown time, count as having run for that long. */
    readonly includesAdopted?: boolean;
    /** Whether the tasks of a job cannot start now. */
    readonly isBlocked: (job: string) => boolean;
}

const isPreemptible = (
    run: Run,
    { nowMs, minRunTimeMs = DefaultMinRunTimeMs, includesAdopted = false, isBlocked }: CandidateContext,
): boolean =>
    run.task.step.spec.lasting &&
    run.task.run === run &&
    !run.isStopRequested &&
    run.phase === RunPhase.Running &&
    // It would have to wait for a trial before it starts again.
    run.task.suspicion === 0 &&
    ((includesAdopted && run.isAdopted) || nowMs - run.startedAtMs >= minRunTimeMs) &&
    !isBlocked(run.task.step.occurrence.job.spec.id) &&
    allowsUnavailableTask(run.task.step);

/** Preemptions of the run's job, per task of the step. */
const preemptionsPerTask = (run: Run): number =>
    run.task.step.occurrence.job.preemptionCount / run.task.step.spec.count;

const compare = (a: Candidate, b: Candidate): number =>
    Number(b.isMisplaced) - Number(a.isMisplaced) ||
    preemptionsPerTask(a.run) - preemptionsPerTask(b.run) ||
    b.run.reservation.processors - a.run.reservation.processors;

/**
 * The lasting tasks of a fleet in preemption order: first those that keep fillers off their worker, then those whose
 * jobs were preempted least, so that no job is unavailable much more often than others, then larger tasks.
 */
export class PreemptionCandidates {
    private constructor(
        private readonly candidates: Candidate[],
        private readonly nowMs: number,
    ) {}

    static create(context: CandidateContext): PreemptionCandidates {
        const { fleet, effects, nowMs } = context;
        const candidates: Candidate[] = [];
        for (const worker of fleet.workers) {
            // Most workers serve one image, from which no task can stand out.
            const mayHaveMisplaced = servingImages(worker).size > 1;
            for (const run of worker.runs.values()) {
                if (isPreemptible(run, context)) {
                    const isMisplaced =
                        mayHaveMisplaced && effects.compatibilityGainWithout(run) >= MinMisplacedGain;
                    candidates.push({ run, isMisplaced });
                }
            }
        }
        return new PreemptionCandidates(candidates.sort(compare), nowMs);
    }

    /** Removes and returns the first allowed candidate whose capacity is enough for a waiting task. */
    takeFor(task: Task, service: string, isAllowed: (run: Run) => boolean = () => true): Run | undefined {
        const found = this.candidates.find(
            ({ run }) =>
                isAllowed(run) &&
                allowsUnavailableTask(run.task.step) &&
                run.worker
                    .reservedFromOthers(task.step)
                    .minus(run.reservation)
                    .plus(task.step.reservation)
                    .fitsIn(run.worker.entry.capacity) &&
                isSuitable(run.worker, task, service, this.nowMs),
        );
        if (found === undefined) {
            return undefined;
        }
        found.run.task.step.occurrence.job.preemptionCount++;
        this.candidates.splice(this.candidates.indexOf(found), 1);
        this.candidates.sort(compare);
        return found.run;
    }
}
