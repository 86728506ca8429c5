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
import type { WaitingTask } from "./waiting-task.js";
import type { WorkerFleet } from "./worker-fleet.js";
import type { WorkerIncarnation } from "./worker-incarnation.js";

/** Run numbers that one epoch may use for a task: numbers rise over owners, also when a start was not recorded. */
const RunsPerEpoch = 1_000;
/** Short tasks that room is looked for in one plan. */
const MaxWaitingShort = 64;

/** A serving task waits this long for a worker that has tasks of its kind, in milliseconds. */
const OwnKindMs = 600;
/** A job of which nothing runs waits this long until one of its fillers starts where it is slow, in milliseconds. */
const FillerWaitMs = 2_000;
/** The members of a gang wait this long for workers where they work at their speed, in milliseconds. */
const GangWaitMs = 1_000;

/** What the planner decides on. */
interface PlannerContext {
    readonly epoch: number;
    readonly clock: Clock;
    readonly jobs: JobRegistry;
    readonly fleet: WorkerFleet;
    readonly rules: QueueRules;
    readonly effects: NeighbourEffects;
    readonly results: RunResults;
}

const isReady = (task: Task, nowMs: number): boolean =>
    !task.isDone && task.run === undefined && nowMs >= task.notBeforeMs;

/** Time for which one of a step's tasks has been ready without a worker, in milliseconds. */
const longestWait = (step: Step, nowMs: number): number =>
    Math.max(0, ...step.tasks.map(task => nowMs - (task.readySinceMs ?? nowMs)));

const hasRun = (step: Step): boolean => {
    for (const task of step.occurrence.job.tasks()) {
        if (task.run !== undefined) {
            return true;
        }
    }
    return false;
};

/** Whether a step has waited so long for a good worker that any other one is better than none. */
const hasWaitedLong = (step: Step, nowMs: number): boolean => {
    const waitedMs = longestWait(step, nowMs);
    if (step.spec.filler) {
        return waitedMs >= FillerWaitMs && !hasRun(step);
    }
    return step.spec.tailTargetMs > 0 && waitedMs >= OwnKindMs;
};

/** Decides which tasks start now, and where. */
export class StartPlanner {
    /** Tasks of the last plan that found no worker on which their steps are permitted, in their order. */
    readonly tasksWithoutPermit: WaitingTask[] = [];

    private constructor(private readonly context: PlannerContext) {}

    static create(context: PlannerContext): StartPlanner {
        return new StartPlanner(context);
    }

    /** Starts for now; jobs that `isHeld` names get none. */
    plan(nowMs: number, isHeld: (job: string) => boolean): Order[] {
        const orders: Order[] = [];
        const waiting: WaitingTask[] = [];
        const misfits = UnplaceableSteps.create();
        this.tasksWithoutPermit.length = 0;
        const ranked = this.rankedSteps(nowMs, isHeld);
        for (const { step, service } of ranked) {
            if (misfits.covers(step, service)) {
                this.noteWaiting(step, service, waiting, nowMs);
                continue;
            }
            if (step.spec.gang) {
                orders.push(...this.startGang(step, service, nowMs));
            } else {
                orders.push(...this.startTasks(step, service, nowMs));
                if (step.tasks.some(task => isReady(task, nowMs))) {
                    misfits.add(step, service);
                }
            }
            this.noteWaiting(step, service, waiting, nowMs);
            const task = step.permits && step.tasks.find(each => isReady(each, nowMs));
            if (task !== undefined) {
                this.tasksWithoutPermit.push({ task, service });
            }
        }
        for (const { step, service } of ranked) {
            if (!step.spec.gang && hasWaitedLong(step, nowMs)) {
                const most = step.spec.filler ? 1 : step.spec.count;
                orders.push(...this.startTasks(step, service, nowMs, { isChoosy: false, most }));
            }
        }
        preemptLastingTasks(this.context.fleet, waiting, this.context.effects, nowMs);
        return orders;
    }

    private rankedSteps(nowMs: number, isHeld: (job: string) => boolean): { step: Step; service: string }[] {
        const wallMs = this.context.clock.wallMs();
        const ranked: { step: Step; service: string; rank: StepRank }[] = [];
        for (const job of this.context.jobs.undecided) {
            const rule = this.context.rules.get(job.spec.queue);
            if (rule === undefined || isHeld(job.spec.id)) {
                continue;
            }
            for (const step of job.openSteps()) {
                const first = step.tasks.find(task => isReady(task, nowMs));
                if (first !== undefined) {
                    first.readySinceMs ??= nowMs;
                    step.setNeedsPermits(rule.needsPermits);
                    const waitedMs = step.spec.lasting ? longestWait(step, nowMs) : 0;
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
        { isChoosy, most } = { isChoosy: true, most: Infinity },
    ): Order[] {
        const orders: Order[] = [];
        for (const task of step.tasks) {
            if (orders.length >= most) {
                break;
            }
            if (!isReady(task, nowMs)) {
                continue;
            }
            task.readySinceMs ??= nowMs;
            const { fleet, effects } = this.context;
            const life = chooseWorker(fleet.workers, task, service, effects, nowMs, isChoosy);
            if (life === undefined) {
                break;
            }
            orders.push(this.startOn(task, life, this.nextRun(task), nowMs));
        }
        return orders;
    }

    /** Short tasks that found no worker: room is made for them. */
    private noteWaiting(step: Step, service: string, waiting: WaitingTask[], nowMs: number): void {
        if (step.spec.lasting || step.spec.filler || step.spec.gang) {
            return;
        }
        for (const task of step.tasks) {
            if (isReady(task, nowMs) && waiting.length < MaxWaitingShort) {
                task.readySinceMs ??= nowMs;
                waiting.push({ task, service });
            }
        }
    }

    /** All members start with one number, or none does. */
    private startGang(step: Step, service: string, nowMs: number): Order[] {
        if (step.tasks.some(task => !isReady(task, nowMs))) {
            return [];
        }
        const number = Math.max(...step.tasks.map(task => this.nextRun(task)));
        const orders: Order[] = [];
        const isChoosy = longestWait(step, nowMs) < GangWaitMs;
        for (const task of step.tasks) {
            task.readySinceMs ??= nowMs;
            const { fleet, effects } = this.context;
            const life = chooseWorker(fleet.workers, task, service, effects, nowMs, isChoosy);
            if (life === undefined) {
                for (const order of orders) {
                    if (order.kind === OrderKind.Start) {
                        this.context.results.release(order.run);
                    }
                }
                return [];
            }
            orders.push(this.startOn(task, life, number, nowMs));
        }
        return orders;
    }

    private nextRun(task: Task): number {
        return Math.max(task.lastRun + 1, (this.context.epoch - 1) * RunsPerEpoch + 1);
    }

    private startOn(task: Task, life: WorkerIncarnation, number: number, nowMs: number): Order {
        if (task.step.spec.filler) {
            // The worker's pace is planned anew, with this one.
            life.pacePlannedAtMs = -Infinity;
        }
        const run = Run.create(task, life, number, nowMs);
        run.ticket = task.step.permits?.ticketFor(life, nowMs);
        task.run = run;
        task.lastRun = number;
        task.readySinceMs = undefined;
        task.step.occurrence.job.hasStarted = true;
        life.add(run);
        return { kind: OrderKind.Start, worker: life, run };
    }
}
