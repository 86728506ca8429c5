import type { Clock } from "@samphireward/core/clock";
import { CapacityIndex } from "./capacity-index.js";
import type { CopyPlanner } from "./copy-planner.js";
import { isReady } from "./is-ready.js";
import type { JobRegistry } from "./job-registry.js";
import { HeldWorkers } from "./held-workers.js";
import { nextRunNumber } from "./next-run-number.js";
import { longestWaitMs } from "./longest-wait-ms.js";
import { mayRelaxFit } from "./may-relax-fit.js";
import { longestOverdueMs } from "./longest-overdue-ms.js";
import { overdueTasks } from "./overdue-tasks.js";
import { preemptLastingTasks } from "./preempt-lasting-tasks.js";
import { UnplaceableSteps } from "./unplaceable-steps.js";
import type { NeighbourEffects } from "./neighbour-effects.js";
import { OrderKind } from "./order-kind.js";
import type { Order } from "./order.js";
import type { QueueRules } from "./queue-rules.js";
import type { OrderCandidate } from "./order-candidate.js";
import type { RankedStep } from "./ranked-step.js";
import type { RunResults } from "./run-results.js";
import type { StartOrder } from "./start-order.js";
import { startRun } from "./start-run.js";
import type { Step } from "./step.js";
import { swapLastingTasks } from "./swap-lasting-tasks.js";
import type { Task } from "./task.js";
import type { TrialPlanner } from "./trial-planner.js";
import type { WaitingTask } from "./waiting-task.js";
import type { WorkerFleet } from "./worker-fleet.js";
import type { WorkerIncarnation } from "./worker-incarnation.js";
import { WorkerRanking } from "./worker-ranking.js";

/** Most short tasks for which one plan tries to preempt lasting ones. */
const MaxWaitingShortTasks = 64;

/** The members of a gang wait this long for well fitting workers before a poorer fit is accepted. */
const GangWaitMs = 1_000;

/** Dependencies of the planner. */
interface PlannerContext {
    readonly epoch: number;
    readonly clock: Clock;
    readonly jobs: JobRegistry;
    readonly fleet: WorkerFleet;
    readonly rules: QueueRules;
    readonly effects: NeighbourEffects;
    readonly results: RunResults;
    readonly trialPlanner: TrialPlanner;
    readonly copyPlanner: CopyPlanner;
    readonly order: StartOrder;
}

/** The starts of a step's tasks in one pass. */
interface StepStarts {
    readonly orders: readonly Order[];
    /** Whether no worker could take one more task of the step that is not suspected. */
    readonly isOutOfRoom: boolean;
}

/** Decides which tasks start now, and on which workers. */
export class StartPlanner {
    /** Tasks of the last plan that found no permitted worker, one for each step, in rank order. */
    readonly tasksWithoutPermit: WaitingTask[] = [];

    private readonly held: HeldWorkers;
    /** The processors left on the workers at the start of the last plan. */
    private capacity = CapacityIndex.create([]);

    private constructor(private readonly context: PlannerContext) {
        this.held = HeldWorkers.create(context.fleet);
    }

    static create(context: PlannerContext): StartPlanner {
        return new StartPlanner(context);
    }

    /** Returns the starts for now. Jobs for which `isBlocked` returns true get none. */
    plan(nowMs: number, isBlocked: (job: string) => boolean): Order[] {
        const orders: Order[] = [];
        const waiting: WaitingTask[] = [];
        const overdue: WaitingTask[] = [];
        const unplaceable = UnplaceableSteps.create();
        this.tasksWithoutPermit.length = 0;
        this.capacity = CapacityIndex.create(this.context.fleet.workers);
        const ranked = this.rankedSteps(nowMs, isBlocked);
        this.held.update(this.overdueSteps(ranked, nowMs), nowMs);
        for (const { step, service } of ranked) {
            if (unplaceable.covers(step, service)) {
                this.collectWaiting(step, service, waiting, nowMs);
                continue;
            }
            if (step.spec.gang) {
                orders.push(...this.startGang(step, service, nowMs));
            } else {
                const starts = this.startTasks(step, service, nowMs);
                orders.push(...starts.orders);
                if (starts.isOutOfRoom) {
                    unplaceable.add(step, service);
                }
                // Fillers reserve no processors, so that neither a hold nor a swap brings them closer to a start.
                const waitingLong = step.spec.filler ? [] : overdueTasks(step, nowMs);
                const without = this.held.withoutHold(waitingLong);
                overdue.push(...without.map(task => ({ task, service })));
            }
            this.collectWaiting(step, service, waiting, nowMs);
            const task = step.permits && step.tasks.find(each => isReady(each, nowMs));
            if (task !== undefined) {
                this.tasksWithoutPermit.push({ task, service });
            }
        }
        for (const { step, service } of ranked) {
            if (!step.spec.gang && mayRelaxFit(step, nowMs)) {
                const maxStarts = step.spec.filler ? 1 : step.spec.count;
                const options = { requiresGoodFit: false, maxStarts };
                orders.push(...this.startTasks(step, service, nowMs, options).orders);
            }
        }
        const { fleet, rules, effects, copyPlanner } = this.context;
        const copies = copyPlanner.plan({ ranked, capacity: this.capacity, nowMs, isBlocked });
        swapLastingTasks(overdue, { fleet, held: this.held, rules, effects, nowMs, isBlocked });
        preemptLastingTasks(waiting, { fleet, effects, nowMs, isBlocked });
        return copies.length === 0 ? orders : [...orders, ...copies];
    }

    private overdueSteps(ranked: readonly RankedStep[], nowMs: number): Set<Step> {
        return new Set(
            ranked.map(({ step }) => step).filter(step => longestOverdueMs(step, nowMs) !== undefined),
        );
    }

    private rankedSteps(nowMs: number, isBlocked: (job: string) => boolean): readonly RankedStep[] {
        const ranked: (RankedStep & OrderCandidate)[] = [];
        for (const job of this.context.jobs.undecided) {
            const rule = this.context.rules.get(job.spec.queue);
            if (rule === undefined || isBlocked(job.spec.id)) {
                continue;
            }
            for (const step of job.openSteps()) {
                const first = step.tasks.find(task => isReady(task, nowMs));
                if (first !== undefined) {
                    first.readySinceMs ??= nowMs;
                    step.setNeedsPermits(rule.needsPermits);
                    const overdueMs = longestOverdueMs(step, nowMs);
                    ranked.push({ step, service: rule.service, rule, overdueMs });
                }
            }
        }
        const { order, fleet } = this.context;
        return order.sort(ranked, { wallMs: this.context.clock.wallMs(), nowMs, fleet });
    }

    private startTasks(
        step: Step,
        service: string,
        nowMs: number,
        { requiresGoodFit, maxStarts } = { requiresGoodFit: true, maxStarts: Infinity },
    ): StepStarts {
        const orders: Order[] = [];
        const ready = step.tasks.filter(task => isReady(task, nowMs));
        ready.forEach(task => (task.readySinceMs ??= nowMs));
        if (step.spec.lasting) {
            ready.sort((x, y) => (x.readySinceMs ?? nowMs) - (y.readySinceMs ?? nowMs));
        }
        if (ready.length === 0) {
            return { orders, isOutOfRoom: false };
        }
        const ranking = this.rankWorkers(step, service, nowMs, requiresGoodFit);
        for (const task of ready) {
            if (orders.length >= maxStarts) {
                break;
            }
            if (task.needsTrial) {
                orders.push(...this.startSuspect(task, service, nowMs, requiresGoodFit));
                continue;
            }
            const worker = ranking.choose(task);
            if (worker !== undefined) {
                orders.push(this.startOn(task, worker, this.nextRunNumber(task), nowMs));
            } else if (!ranking.hasRoom) {
                return { orders, isOutOfRoom: true };
            }
        }
        return { orders, isOutOfRoom: false };
    }

    /** Starts a suspected task if its trial is stored; otherwise prepares its trial. */
    private startSuspect(task: Task, service: string, nowMs: number, requiresGoodFit: boolean): Order[] {
        const worker = this.context.trialPlanner.workerFor(task, { service, requiresGoodFit }, nowMs);
        return worker === undefined ? [] : [this.startOn(task, worker, this.nextRunNumber(task), nowMs)];
    }

    /** Collects short tasks that found no worker; lasting tasks may be preempted for them if that can make room. */
    private collectWaiting(step: Step, service: string, waiting: WaitingTask[], nowMs: number): void {
        if (step.spec.lasting || step.spec.filler || step.spec.gang || !this.fitsAnyWorker(step, service)) {
            return;
        }
        if (!this.context.order.mayPreemptFor(step)) {
            return;
        }
        for (const task of step.tasks) {
            const isUnplaced = !task.needsTrial || this.context.trialPlanner.mayOpen(task);
            if (isUnplaced && isReady(task, nowMs) && waiting.length < MaxWaitingShortTasks) {
                task.readySinceMs ??= nowMs;
                waiting.push({ task, service });
            }
        }
    }

    /** Whether a worker is large enough for a task of the step, whatever runs there. */
    private fitsAnyWorker({ reservation }: Step, service: string): boolean {
        for (const { entry } of this.context.fleet.workers) {
            if (entry.service === service && reservation.fitsIn(entry.capacity)) {
                return true;
            }
        }
        return false;
    }

    /** Starts all members with the same run number, or none of them. */
    private startGang(step: Step, service: string, nowMs: number): Order[] {
        if (step.tasks.some(task => !isReady(task, nowMs))) {
            return [];
        }
        const number = Math.max(...step.tasks.map(task => this.nextRunNumber(task)));
        // An earlier build may have stored different ones for the members.
        const checkpointed = step.tasks.find(({ checkpoint }) => checkpoint !== "");
        checkpointed?.setCheckpoint(checkpointed.checkpoint);
        const orders: Order[] = [];
        const requiresGoodFit = longestWaitMs(step, nowMs) < GangWaitMs;
        const { trialPlanner } = this.context;
        const suspects = step.tasks.filter(task => task.needsTrial);
        // Members of a gang start and end together, so that a crash ends the others anyway.
        step.sharesTrials = !requiresGoodFit;
        if (suspects.length > 0 && !trialPlanner.isGangReady(suspects, { service, requiresGoodFit }, nowMs)) {
            return [];
        }
        const ranking = this.rankWorkers(step, service, nowMs, requiresGoodFit);
        // The workers of trials were checked for room before the others start there.
        const onTrial = suspects.filter(task => task.trial !== undefined);
        const others = step.tasks.filter(task => !onTrial.includes(task));
        for (const task of [...onTrial, ...others]) {
            task.readySinceMs ??= nowMs;
            const worker = onTrial.includes(task) ? task.trial?.worker : ranking.choose(task);
            if (worker === undefined) {
                for (const order of orders) {
                    if (order.kind === OrderKind.Start) {
                        this.context.results.withdraw(order.run);
                    }
                }
                trialPlanner.closeTrials(suspects);
                return [];
            }
            orders.push(this.startOn(task, worker, number, nowMs));
        }
        return orders;
    }

    private rankWorkers(step: Step, service: string, nowMs: number, requiresGoodFit: boolean): WorkerRanking {
        const workers = this.capacity.candidates(step, requiresGoodFit);
        const { effects } = this.context;
        return WorkerRanking.create({ workers, step, service, effects, nowMs, requiresGoodFit });
    }

    private nextRunNumber(task: Task): number {
        return nextRunNumber(task, this.context.epoch);
    }

    private startOn(task: Task, worker: WorkerIncarnation, number: number, nowMs: number): Order {
        if (task.step.spec.filler) {
            // Forces a new pace plan for the worker that includes this filler.
            worker.pacePlannedAtMs = -Infinity;
        }
        const run = startRun(task, worker, number, nowMs);
        run.waitedSinceMs = task.readySinceMs;
        if (worker.heldFor === task.step) {
            this.held.release(worker);
        }
        task.setRun(run);
        task.readySinceMs = undefined;
        return { kind: OrderKind.Start, worker, run };
    }
}
