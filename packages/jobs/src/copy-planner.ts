import { CapacityIndex } from "./capacity-index.js";
import { CopyBudget } from "./copy-budget.js";
import { copyCandidates } from "./copy-candidates.js";
import type { CopyRuns } from "./copy-runs.js";
import { isCopyBehind } from "./is-copy-behind.js";
import { isOpenToStep } from "./is-open-to-step.js";
import { isReady } from "./is-ready.js";
import { isSlowWorker } from "./is-slow-worker.js";
import { isSuitable } from "./is-suitable.js";
import type { JobRegistry } from "./job-registry.js";
import { limitForFleet } from "./limit-for-fleet.js";
import type { NeighbourEffects } from "./neighbour-effects.js";
import { nextRunNumber } from "./next-run-number.js";
import type { Order } from "./order.js";
import { OrderKind } from "./order-kind.js";
import { ProjectedCapacity } from "./projected-capacity.js";
import type { QueueRules } from "./queue-rules.js";
import type { Run } from "./run.js";
import { startRun } from "./start-run.js";
import { StopReason } from "./stop-reason.js";
import type { Task } from "./task.js";
import { waitingSteps } from "./waiting-steps.js";
import type { WorkerFleet } from "./worker-fleet.js";
import type { WorkerIncarnation } from "./worker-incarnation.js";
import { WorkerRanking } from "./worker-ranking.js";

/** Dependencies of the planner. */
interface CopyContext {
    readonly epoch: number;
    readonly jobs: JobRegistry;
    readonly fleet: WorkerFleet;
    readonly rules: QueueRules;
    readonly effects: NeighbourEffects;
    readonly copies: CopyRuns;
}

/** Time between two searches for slow runs; progress is listed no more often. */
const SearchIntervalMs = 350;
/** Most copies of one plan; more in a large fleet. */
const MaxCopiesPerPlan = 1;
/** With more waiting steps than this the cell is full, and no copy is started. */
const MaxWaitingSteps = 16;
/** Most waiting tasks for which one plan stops copies. */
const MaxTasksToMakeRoomFor = 16;

type WaitingSteps = ReturnType<typeof waitingSteps>;
type CopyCandidate = ReturnType<typeof copyCandidates>[number];

/** Decides which tasks of speculative steps get a copy, and which copies are stopped again. */
export class CopyPlanner {
    private searchedAtMs = -Infinity;

    private constructor(private readonly context: CopyContext) {}

    static create(context: CopyContext): CopyPlanner {
        return new CopyPlanner(context);
    }

    /**
     * Returns the starts of copies; to be called after all waiting tasks were placed. Jobs for which `isBlocked` returns
     * true get none. Copies whose capacity a waiting task can use are marked to be stopped.
     */
    plan(nowMs: number, isBlocked: (job: string) => boolean): Order[] {
        const { jobs, rules, copies, fleet } = this.context;
        if (jobs.undecidedSpeculative.size === 0) {
            return [];
        }
        if (copies.openCount > 0) {
            this.makeRoom(nowMs, isBlocked);
        }
        if (nowMs - this.searchedAtMs < SearchIntervalMs) {
            return [];
        }
        this.searchedAtMs = nowMs;
        for (const copy of copies.open) {
            if (!copy.isStopRequested && isCopyBehind(copy, nowMs)) {
                copy.stopReason = StopReason.Behind;
            }
        }
        const candidates = copyCandidates({ jobs, rules, nowMs, isBlocked });
        if (candidates.length === 0) {
            return [];
        }
        const waiting = waitingSteps(jobs, rules);
        if (waiting.length > MaxWaitingSteps) {
            return [];
        }
        const maxCopies = limitForFleet(MaxCopiesPerPlan, fleet.size);
        const orders: Order[] = [];
        for (const candidate of candidates) {
            if (orders.length >= maxCopies) {
                break;
            }
            orders.push(...this.startCopy(candidate, waiting, nowMs));
        }
        return orders;
    }

    private startCopy(candidate: CopyCandidate, waiting: WaitingSteps, nowMs: number): Order[] {
        const { original, copyMs } = candidate;
        const { copies, epoch } = this.context;
        const { task, reservation, startedAtMs } = original;
        // If the copy loses, its work is wasted; if it wins, that of the original.
        const atRisk = reservation.processors * (copyMs + nowMs - startedAtMs);
        if (
            !CopyBudget.allowsProcessors(copies.processors, reservation.processors, this.cellProcessors()) ||
            !copies.budget.allowsWaste(copies.atRiskProcessorMs + atRisk, nowMs)
        ) {
            return [];
        }
        const worker = this.chooseWorker(candidate, waiting, nowMs);
        if (worker === undefined) {
            return [];
        }
        const run = startRun(task, worker, nextRunNumber(task, epoch), nowMs);
        task.copy = run;
        copies.start(run, atRisk);
        return [{ kind: OrderKind.Start, worker, run }];
    }

    /** Chooses a worker in another rack, or else any other one, whose capacity no waiting task can use. */
    private chooseWorker(
        { original, service }: CopyCandidate,
        waiting: WaitingSteps,
        nowMs: number,
    ): WorkerIncarnation | undefined {
        const { fleet, effects } = this.context;
        const { task } = original;
        const { step } = task;
        const workers = CapacityIndex.create(fleet.workers)
            .candidates(step, true)
            .filter(
                worker =>
                    worker !== original.worker &&
                    !isSlowWorker(worker, nowMs) &&
                    nowMs >= worker.avoidUntilMs &&
                    !task.failedWorkerIds.has(worker.entry.id) &&
                    !worker.lateStarts.has(task.name) &&
                    !waiting.some(
                        other =>
                            other.step.reservation.fitsIn(worker.entry.capacity) &&
                            isOpenToStep(worker, other.step, other.service, nowMs),
                    ),
            );
        const choose = (among: readonly WorkerIncarnation[]): WorkerIncarnation | undefined =>
            WorkerRanking.create({
                workers: among,
                step,
                service,
                effects,
                nowMs,
                requiresGoodFit: true,
            }).choose(task);
        const { rack } = original.worker.entry;
        return choose(workers.filter(({ entry }) => entry.rack !== rack)) ?? choose(workers);
    }

    private cellProcessors(): number {
        let sum = 0;
        for (const { isReachable, entry } of this.context.fleet.workers) {
            sum += isReachable ? entry.capacity.processors : 0;
        }
        return sum;
    }

    /** Marks copies to be stopped whose capacity is all that a waiting task lacks. */
    private makeRoom(nowMs: number, isBlocked: (job: string) => boolean): void {
        const { jobs, rules, fleet } = this.context;
        const capacity = ProjectedCapacity.create(fleet.workers);
        let count = 0;
        for (const { step, service } of waitingSteps(jobs, rules)) {
            if (step.spec.filler || isBlocked(step.occurrence.job.spec.id)) {
                continue;
            }
            for (const task of step.tasks) {
                if (isReady(task, nowMs) && ++count <= MaxTasksToMakeRoomFor) {
                    this.makeRoomFor(task, service, capacity, nowMs);
                }
            }
        }
    }

    private makeRoomFor(task: Task, service: string, capacity: ProjectedCapacity, nowMs: number): void {
        const { reservation } = task.step;
        const copy = this.findCopyToStop(task, service, capacity, nowMs);
        if (copy === undefined) {
            return;
        }
        for (const worker of this.context.fleet.workers) {
            if (capacity.fits(worker, reservation) && isSuitable(worker, task, service, nowMs)) {
                capacity.reserve(worker, reservation);
                return;
            }
        }
        copy.stopReason = StopReason.Preempted;
        capacity.release(copy.worker, copy.reservation.minus(reservation));
    }

    private findCopyToStop(
        task: Task,
        service: string,
        capacity: ProjectedCapacity,
        nowMs: number,
    ): Run | undefined {
        for (const copy of this.context.copies.open) {
            const { worker, reservation } = copy;
            const isCopy = copy.task.copy === copy && !copy.isStopRequested;
            if (
                isCopy &&
                capacity.fits(worker, task.step.reservation.minus(reservation)) &&
                isSuitable(worker, task, service, nowMs)
            ) {
                return copy;
            }
        }
        return undefined;
    }
}
