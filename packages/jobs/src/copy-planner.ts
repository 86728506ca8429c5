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
import { startRun } from "./start-run.js";
import { StopReason } from "./stop-reason.js";
import type { WorkerFleet } from "./worker-fleet.js";

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

/** Time between two searches for slow runs; few workers list their progress more often. */
const SearchIntervalMs = 500;
/** Most copies that are started after one search; more in a large fleet. */
const MaxCopiesPerSearch = 1;
/** With more waiting steps than this the cell is full, and no copy is started. */
const MaxWaitingSteps = 16;

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
            if (!copy.isStopRequested && isCopyBehind(copy, nowMs)) {
                copy.stopReason = StopReason.Behind;
            }
        }
        if (waiting.length > MaxWaitingSteps) {
            return [];
        }
        const maxCopies = limitForFleet(MaxCopiesPerSearch, fleet.size);
        const orders: Order[] = [];
        for (const candidate of copyCandidates({ jobs, rules, nowMs, isBlocked })) {
            if (orders.length >= maxCopies) {
                break;
            }
            orders.push(...this.startCopy(candidate, { waiting, capacity, nowMs }));
        }
        return orders;
    }

    private startCopy(
        { original, service, copyMs }: ReturnType<typeof copyCandidates>[number],
        state: Pick<PlanState, "capacity" | "nowMs"> & { readonly waiting: readonly RankedStep[] },
    ): Order[] {
        const { nowMs } = state;
        const { copies, epoch, effects } = this.context;
        const { task, reservation, startedAtMs } = original;
        // If the copy loses, its work is wasted; if it wins, that of the original.
        const atRisk = reservation.processors * (copyMs + nowMs - startedAtMs);
        if (
            !CopyBudget.allowsProcessors(copies.processors, reservation.processors, this.cellProcessors()) ||
            !copies.budget.allowsWaste(copies.atRiskProcessorMs + atRisk, nowMs)
        ) {
            return [];
        }
        const worker = chooseCopyWorker(original, { ...state, service, effects });
        if (worker === undefined) {
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
