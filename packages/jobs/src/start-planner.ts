import type { Clock } from "@samphireward/core/clock";
import { chooseWorker } from "./choose-worker.js";
import type { JobRegistry } from "./job-registry.js";
import { preemptLastingTasks } from "./preempt-lasting-tasks.js";
import { UnplaceableSteps } from "./unplaceable-steps.js";
import type { NeighbourEffects } from "./neighbour-effects.js";
import { OrderKind } from "./order-kind.js";
import type { Order } from "./order.js";
import type { QueueRules } from "./queue-rules.js";
import { Run } from "./run.js";
import type { RunResults } from "./run-results.js";
import type { Step } from "./step.js";
import { StepRank } from "./step-rank.js";
import type { Task } from "./task.js";
import type { TrialPlanner } from "./trial-planner.js";
import type { WaitingTask } from "./waiting-task.js";
import type { WorkerFleet } from "./worker-fleet.js";
import type { WorkerIncarnation } from "./worker-incarnation.js";

/** Run numbers reserved per epoch and task, so that numbers increase across owners even if a start was not stored. */
const RunNumbersPerEpoch = 1_000;
/** Most short tasks for which one plan tries to preempt lasting ones. */
const MaxWaitingShortTasks = 64;

/** A serving task waits this long for a worker with compatible images before a poorer fit is accepted. */
const SameImagesWaitMs = 600;
/** A job without any run waits this long before one of its fillers may start where it is slow. */
const FillerWaitMs = 2_000;
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
}

const isReady = (task: Task, nowMs: number): boolean =>
    !task.isDone && task.run === undefined && nowMs >= task.notBeforeMs;

/** Longest time that a task of the step has been ready without a worker. */
const longestWaitMs = (step: Step, nowMs: number): number =>
    Math.max(0, ...step.tasks.map(task => nowMs - (task.readySinceMs ?? nowMs)));

const hasActiveRun = (step: Step): boolean => {
    for (const task of step.occurrence.job.tasks()) {
        if (task.run !== undefined) {
            return true;
        }
    }
    return false;
};

/** Whether a step has waited long enough for a well fitting worker that it may start on any other one. */
const mayRelaxFit = (step: Step, nowMs: number): boolean => {
    const waitedMs = longestWaitMs(step, nowMs);
    if (step.spec.filler) {
        return waitedMs >= FillerWaitMs && !hasActiveRun(step);
    }
    return step.spec.tailTargetMs > 0 && waitedMs >= SameImagesWaitMs;
};

/** Decides which tasks start now, and on which workers. */
export class StartPlanner {
    /** Tasks of the last plan that found no permitted worker, one for each step, in rank order. */
    readonly tasksWithoutPermit: WaitingTask[] = [];

    private constructor(private readonly context: PlannerContext) {}

    static create(context: PlannerContext): StartPlanner {
        return new StartPlanner(context);
    }

    /** Returns the starts for now. Jobs for which `isBlocked` returns true get none. */
    plan(nowMs: number, isBlocked: (job: string) => boolean): Order[] {
        const orders: Order[] = [];
        const waiting: WaitingTask[] = [];
        const unplaceable = UnplaceableSteps.create();
        this.tasksWithoutPermit.length = 0;
        const ranked = this.rankedSteps(nowMs, isBlocked);
        for (const { step, service } of ranked) {
            if (unplaceable.covers(step, service)) {
                this.collectWaiting(step, service, waiting, nowMs);
                continue;
            }
            if (step.spec.gang) {
                orders.push(...this.startGang(step, service, nowMs));
            } else {
                orders.push(...this.startTasks(step, service, nowMs));
                if (step.tasks.some(task => task.suspicion === 0 && isReady(task, nowMs))) {
                    unplaceable.add(step, service);
                }
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
                orders.push(...this.startTasks(step, service, nowMs, { requiresGoodFit: false, maxStarts }));
            }
        }
        preemptLastingTasks(this.context.fleet, waiting, this.context.effects, nowMs);
        return orders;
    }

    private rankedSteps(
        nowMs: number,
        isBlocked: (job: string) => boolean,
    ): { step: Step; service: string }[] {
        const wallMs = this.context.clock.wallMs();
        const ranked: { step: Step; service: string; rank: StepRank }[] = [];
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
                    const waitedMs = step.spec.lasting ? longestWaitMs(step, nowMs) : 0;
                    const rank = StepRank.create(step, rule, wallMs, waitedMs);
                    ranked.push({ step, service: rule.service, rank });
                }
            }
        }
        return ranked.sort((a, b) => a.rank.compare(b.rank));
    }

    private startTasks(
        step: Step,
        service: string,
        nowMs: number,
        { requiresGoodFit, maxStarts } = { requiresGoodFit: true, maxStarts: Infinity },
    ): Order[] {
        const orders: Order[] = [];
        for (const task of step.tasks) {
            if (orders.length >= maxStarts) {
                break;
            }
            if (!isReady(task, nowMs)) {
                continue;
            }
            task.readySinceMs ??= nowMs;
            const { fleet, effects } = this.context;
            if (task.suspicion > 0) {
                orders.push(...this.startSuspect(task, service, nowMs, requiresGoodFit));
                continue;
            }
            const worker = chooseWorker(fleet.workers, task, service, effects, nowMs, requiresGoodFit);
            if (worker === undefined) {
                break;
            }
            orders.push(this.startOn(task, worker, this.nextRunNumber(task), nowMs));
        }
        return orders;
    }

    /** Starts a suspected task if its trial is stored; otherwise prepares its trial. */
    private startSuspect(task: Task, service: string, nowMs: number, requiresGoodFit: boolean): Order[] {
        const worker = this.context.trialPlanner.workerFor(task, { service, requiresGoodFit }, nowMs);
        return worker === undefined ? [] : [this.startOn(task, worker, this.nextRunNumber(task), nowMs)];
    }

    /** Collects short tasks that found no worker; lasting tasks may be preempted for them. */
    private collectWaiting(step: Step, service: string, waiting: WaitingTask[], nowMs: number): void {
        if (step.spec.lasting || step.spec.filler || step.spec.gang) {
            return;
        }
        for (const task of step.tasks) {
            const isUnplaced = task.suspicion === 0 || this.context.trialPlanner.mayOpen(task);
            if (isUnplaced && isReady(task, nowMs) && waiting.length < MaxWaitingShortTasks) {
                task.readySinceMs ??= nowMs;
                waiting.push({ task, service });
            }
        }
    }

    /** Starts all members with the same run number, or none of them. */
    private startGang(step: Step, service: string, nowMs: number): Order[] {
        if (step.tasks.some(task => !isReady(task, nowMs))) {
            return [];
        }
        const number = Math.max(...step.tasks.map(task => this.nextRunNumber(task)));
        const orders: Order[] = [];
        const requiresGoodFit = longestWaitMs(step, nowMs) < GangWaitMs;
        const { fleet, effects, trialPlanner } = this.context;
        const suspects = step.tasks.filter(task => task.suspicion > 0);
        if (suspects.length > 0 && !trialPlanner.isGangReady(suspects, { service, requiresGoodFit }, nowMs)) {
            return [];
        }
        for (const task of step.tasks) {
            task.readySinceMs ??= nowMs;
            const worker =
                task.trial?.worker ??
                chooseWorker(fleet.workers, task, service, effects, nowMs, requiresGoodFit);
            if (worker === undefined) {
                for (const order of orders) {
                    if (order.kind === OrderKind.Start) {
                        this.context.results.release(order.run);
                    }
                }
                trialPlanner.closeTrials(suspects);
                return [];
            }
            orders.push(this.startOn(task, worker, number, nowMs));
        }
        return orders;
    }

    private nextRunNumber(task: Task): number {
        return Math.max(task.lastRun + 1, (this.context.epoch - 1) * RunNumbersPerEpoch + 1);
    }

    private startOn(task: Task, worker: WorkerIncarnation, number: number, nowMs: number): Order {
        if (task.step.spec.filler) {
            // Forces a new pace plan for the worker that includes this filler.
            worker.pacePlannedAtMs = -Infinity;
        }
        const run = Run.create(task, worker, number, nowMs);
        run.ticket = task.step.permits?.ticketFor(worker, nowMs);
        task.run = run;
        task.lastRun = number;
        task.readySinceMs = undefined;
        task.step.occurrence.job.hasStarted = true;
        worker.add(run);
        return { kind: OrderKind.Start, worker, run };
    }
}
