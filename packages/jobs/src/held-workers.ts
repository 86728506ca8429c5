import { acceptsStarts } from "./accepts-starts.js";
import { isSuitable } from "./is-suitable.js";
import type { Run } from "./run.js";
import type { Step } from "./step.js";
import type { Task } from "./task.js";
import type { WorkerFleet } from "./worker-fleet.js";
import type { WorkerIncarnation } from "./worker-incarnation.js";

/** A worker that has not freed enough capacity after this time is no longer held. */
const MaxHoldMs = 2_500;
/** Share of the workers that may be held at the same time. */
const MaxHeldShare = 0.25;

/** A worker on which no other task may take the capacity that a task of the step needs. */
interface Hold {
    readonly step: Step;
    readonly untilMs: number;
}

/**
 * Whether a run is expected to end while its worker is held. One that has run far longer than estimated tells nothing
 * about its end.
 */
const endsSoon = ({ task, startedAtMs, isStopRequested }: Run, nowMs: number): boolean => {
    const { lasting, estimatedMs } = task.step.spec;
    return isStopRequested || (!lasting && Math.abs(startedAtMs + estimatedMs - nowMs) <= MaxHoldMs);
};

/**
 * Holds workers for starved lasting tasks. Capacity becomes free in pieces; if each piece went to the next task that fits
 * into it, a task that is larger than the pieces would never start.
 */
export class HeldWorkers {
    private readonly holds = new Map<WorkerIncarnation, Hold>();

    private constructor(private readonly fleet: WorkerFleet) {}

    static create(fleet: WorkerFleet): HeldWorkers {
        return new HeldWorkers(fleet);
    }

    /** Releases all workers whose time is over, that accept no starts, or whose step has no overdue task left. */
    update(overdue: ReadonlySet<Step>, nowMs: number): void {
        for (const [worker, { step, untilMs }] of this.holds) {
            if (nowMs >= untilMs || !overdue.has(step) || !this.isUsable(worker)) {
                this.release(worker);
            }
        }
    }

    /** Releases a worker on which a task of the step has started. */
    release(worker: WorkerIncarnation): void {
        this.holds.delete(worker);
        worker.heldFor = undefined;
    }

    hold(worker: WorkerIncarnation, step: Step, nowMs: number): void {
        worker.heldFor = step;
        this.holds.set(worker, { step, untilMs: nowMs + MaxHoldMs });
    }

    /** Releases the workers of a step that its waiting tasks no longer need. Returns the tasks for which none is held. */
    withoutHold(waiting: readonly Task[]): readonly Task[] {
        const [task] = waiting;
        if (task === undefined) {
            return [];
        }
        const holding = this.workersFor(task.step);
        holding.slice(waiting.length).forEach(worker => this.release(worker));
        return waiting.slice(holding.length);
    }

    /** Holds the worker on which the ends of short runs free enough capacity for a task. Returns whether there is one. */
    holdForEnds(task: Task, service: string, nowMs: number): boolean {
        if (this.holds.size >= this.fleet.size * MaxHeldShare) {
            return false;
        }
        const worker = this.findWorker(task, service, nowMs);
        if (worker !== undefined) {
            this.hold(worker, task.step, nowMs);
        }
        return worker !== undefined;
    }

    private isUsable(worker: WorkerIncarnation): boolean {
        const { id, service } = worker.entry;
        return this.fleet.get(id) === worker && acceptsStarts(worker, service);
    }

    /** The workers held for a step, the longest held first. */
    private workersFor(step: Step): WorkerIncarnation[] {
        return [...this.holds].filter(([, hold]) => hold.step === step).map(([worker]) => worker);
    }

    /** Finds the worker that lacks the fewest processors, if the ends of its short runs free enough of everything. */
    private findWorker(task: Task, service: string, nowMs: number): WorkerIncarnation | undefined {
        let best: WorkerIncarnation | undefined;
        let mostFree = -Infinity;
        for (const worker of this.fleet.workers) {
            if (worker.heldFor !== undefined || !isSuitable(worker, task, service, nowMs)) {
                continue;
            }
            const { reservedOrPending } = worker;
            const free = worker.entry.capacity.processors - reservedOrPending.processors;
            if (free > mostFree && this.willFit(worker, task, nowMs)) {
                best = worker;
                mostFree = free;
            }
        }
        return best;
    }

    private willFit(worker: WorkerIncarnation, task: Task, nowMs: number): boolean {
        let remaining = worker.reservedOrPending;
        for (const run of worker.runs.values()) {
            remaining = endsSoon(run, nowMs) ? remaining.minus(run.reservation) : remaining;
        }
        return remaining.plus(task.step.reservation).fitsIn(worker.entry.capacity);
    }
}
