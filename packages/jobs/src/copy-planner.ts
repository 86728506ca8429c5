import type { CapacityIndex } from "./capacity-index.js";
import { chooseCopyWorker } from "./choose-copy-worker.js";
import { CopyBudget } from "./copy-budget.js";
import { copyCandidates } from "./copy-candidates.js";
import type { CopyRuns } from "./copy-runs.js";
import { isCopyBehind } from "./is-copy-behind.js";
import { isReady } from "./is-ready.js";
import type { JobRegistry } from "./job-registry.js";
import { limitForFleet } from "./limit-for-fleet.js";
import type { NeighbourEffects } from "./neighbour-effects.js";
import { nextRunNumber } from "./next-run-number.js";
import type { Order } from "./order.js";
import { OrderKind } from "./order-kind.js";
import { preemptCopies } from "./preempt-copies.js";
import type { QueueRules } from "./queue-rules.js";
import type { RankedStep } from "./ranked-step.js";
import { spareWorkers } from "./spare-workers.js";
import { startRun } from "./start-run.js";
import type { Step } from "./step.js";
import { StopReason } from "./stop-reason.js";
import type { WorkerFleet } from "./worker-fleet.js";
import type { WorkerIncarnation } from "./worker-incarnation.js";

/** Dependencies of the planner. */
interface CopyContext {
    readonly epoch: number;
    readonly jobs: JobRegistry;
    readonly fleet: WorkerFleet;
    readonly rules: QueueRules;
    readonly effects: NeighbourEffects;
    readonly copies: CopyRuns;
}

/** State of a plan in which all ready tasks have been placed as far as there is room. */
interface PlanState {
    /** The steps that had ready tasks when the plan began. */
    readonly ranked: readonly RankedStep[];
    readonly capacity: CapacityIndex;
    readonly nowMs: number;
    /** Whether a worker that has not listed its runs may have some of the job, so that none of its tasks start. */
    readonly isBlocked: (job: string) => boolean;
}

/** What the candidates of one search have in common. */
interface Search extends Pick<PlanState, "capacity" | "nowMs"> {
    /** Workers whose capacity no waiting task can use. */
    readonly spare: ReadonlySet<WorkerIncarnation>;
    /** Processors of the reachable workers. */
    readonly cellProcessors: number;
    /** Tasks that have found no worker, by step. */
    readonly unplaced: Map<Step, number>;
}

/** Time between two searches for slow runs; few workers list their progress more often. */
const SearchIntervalMs = 500;
/** Most copies that are started after one search; more in a large fleet. */
const MaxCopiesPerSearch = 1;
/** With more waiting steps than this the cell is full, and no copy is started. */
const MaxWaitingSteps = 16;
/**
 * A search leaves out a step after this many of its tasks have found no worker; the others could use nearly the same ones.
 * Without it and `spareWorkers`, a search for the copies of 500 slow tasks on 378 workers took 30 to 150 ms.
 */
const MaxUnplacedPerStep = 3;

/** Decides which tasks of speculative steps get a copy, and which copies are stopped again. */
export class CopyPlanner {
    private searchedAtMs = -Infinity;

    private constructor(private readonly context: CopyContext) {}

    static create(context: CopyContext): CopyPlanner {
        return new CopyPlanner(context);
    }

    /** Returns the starts of copies, and marks copies to be stopped whose capacity a waiting task can use. */
    plan({ ranked, capacity, nowMs, isBlocked }: PlanState): Order[] {
        const { jobs, fleet, rules, copies } = this.context;
        if (jobs.undecidedSpeculative.size === 0) {
            return [];
        }
        const isSearchDue = nowMs - this.searchedAtMs >= SearchIntervalMs;
        if (copies.openCount === 0 && !isSearchDue) {
            return [];
        }
        const waiting = ranked.filter(({ step }) => step.tasks.some(task => isReady(task, nowMs)));
        if (copies.openCount > 0 && waiting.length > 0) {
            preemptCopies(waiting, copies.open, fleet, nowMs);
        }
        if (!isSearchDue) {
            return [];
        }
        this.searchedAtMs = nowMs;
        for (const copy of copies.open) {
            if (!copy.isStopRequested && isCopyBehind(copy)) {
                copy.stopReason = StopReason.Behind;
            }
        }
        if (waiting.length > MaxWaitingSteps) {
            return [];
        }
        const candidates = copyCandidates({ jobs, rules, nowMs, isBlocked });
        const spare =
            candidates.length === 0 ? new Set<never>() : spareWorkers(fleet.workers, waiting, nowMs);
        if (spare.size === 0) {
            return [];
        }
        const maxCopies = limitForFleet(MaxCopiesPerSearch, fleet.size);
        const cellProcessors = this.cellProcessors();
        const unplaced = new Map<Step, number>();
        const orders: Order[] = [];
        for (const candidate of candidates) {
            if (orders.length >= maxCopies) {
                break;
            }
            const search = { spare, capacity, nowMs, cellProcessors, unplaced };
            orders.push(...this.startCopy(candidate, search));
        }
        return orders;
    }

    private startCopy(
        { original, service, copyMs }: ReturnType<typeof copyCandidates>[number],
        { spare, capacity, nowMs, cellProcessors, unplaced }: Search,
    ): Order[] {
        const { copies, epoch, effects } = this.context;
        const { task, reservation, startedAtMs } = original;
        // If the copy loses, its work is wasted; if it wins, that of the original.
        const atRisk = reservation.processors * (copyMs + nowMs - startedAtMs);
        const unplacedOfStep = unplaced.get(task.step) ?? 0;
        if (
            unplacedOfStep >= MaxUnplacedPerStep ||
            !CopyBudget.allowsProcessors(copies.processors, reservation.processors, cellProcessors) ||
            !copies.budget.allowsWaste(copies.atRiskProcessorMs + atRisk, nowMs)
        ) {
            return [];
        }
        const worker = chooseCopyWorker(original, { spare, capacity, service, effects, nowMs });
        if (worker === undefined) {
            unplaced.set(task.step, unplacedOfStep + 1);
            return [];
        }
        const run = startRun(task, worker, nextRunNumber(task, epoch), nowMs);
        task.copy = run;
        copies.start(run, atRisk);
        return [{ kind: OrderKind.Start, worker, run }];
    }

    private cellProcessors(): number {
        let sum = 0;
        for (const { isReachable, entry } of this.context.fleet.workers) {
            sum += isReachable ? entry.capacity.processors : 0;
        }
        return sum;
    }
}
