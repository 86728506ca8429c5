import { isSuitable } from "./is-suitable.js";
import type { NeighbourEffects } from "./neighbour-effects.js";
import { RunPhase } from "./run-phase.js";
import type { Run } from "./run.js";
import type { Task } from "./task.js";
import type { WorkerFleet } from "./worker-fleet.js";

/** A lasting task that was started less than this ago is left alone. */
const SettledMs = 3_000;
/** A task that closes its worker to this part of the filler images or more makes way first. */
const MisplacedGain = 0.1;

/** A lasting task that can make way. */
interface Candidate {
    readonly run: Run;
    readonly isMisplaced: boolean;
}

/** Whether the step allows that one more of its tasks is unavailable. */
const allowsAbsence = (run: Run): boolean => {
    const { step } = run.task;
    const { maxUnavailable } = step.spec;
    if (maxUnavailable === undefined) {
        return true;
    }
    const away = step.tasks.filter(
        ({ run: other }) => other === undefined || other.isStopRequested || other.progressPercent < 100,
    );
    return away.length < maxUnavailable;
};

const canMakeWay = (run: Run, nowMs: number): boolean =>
    run.task.step.spec.lasting &&
    run.task.run === run &&
    !run.isStopRequested &&
    run.phase === RunPhase.Running &&
    nowMs - run.startedAtMs >= SettledMs &&
    allowsAbsence(run);

/** How often a job's tasks have made way, for each of its tasks. */
const yieldsOf = (run: Run): number =>
    run.task.step.occurrence.job.preemptionCount / run.task.step.spec.count;

const compare = (a: Candidate, b: Candidate): number =>
    Number(b.isMisplaced) - Number(a.isMisplaced) ||
    yieldsOf(a.run) - yieldsOf(b.run) ||
    b.run.reservation.processors - a.run.reservation.processors;

/**
 * The lasting tasks of a fleet in the order in which they make way: those that keep fillers off their worker, then
 * those whose jobs have made way least, so that none is away much more than others; then larger tasks.
 */
export class PreemptionCandidates {
    private constructor(
        private readonly candidates: Candidate[],
        private readonly nowMs: number,
    ) {}

    static create(fleet: WorkerFleet, effects: NeighbourEffects, nowMs: number): PreemptionCandidates {
        const candidates: Candidate[] = [];
        for (const life of fleet.workers) {
            for (const run of life.runs.values()) {
                if (canMakeWay(run, nowMs)) {
                    candidates.push({
                        run,
                        isMisplaced: effects.compatibilityGainWithout(run) >= MisplacedGain,
                    });
                }
            }
        }
        return new PreemptionCandidates(candidates.sort(compare), nowMs);
    }

    /** Takes out the first task whose room is enough for another one that waits. */
    take(task: Task, service: string): Run | undefined {
        const found = this.candidates.find(
            ({ run }) =>
                allowsAbsence(run) &&
                run.worker.reservedOrPending
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
