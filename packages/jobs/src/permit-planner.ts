import { isSuitableIgnoringPermits } from "./is-suitable-ignoring-permits.js";
import type { PermitRequest } from "./permit-request.js";
import type { Step } from "./step.js";
import type { WaitingTask } from "./waiting-task.js";
import type { WorkerFleet } from "./worker-fleet.js";
import type { WorkerIncarnation } from "./worker-incarnation.js";

/** Workers in one question. Each takes the service some time, so a question about all of them would come late. */
const MaxAskedWorkers = 30;
/** Pause after a question without an answer, in milliseconds. */
const RetryDelayMs = 200;

/**
 * Decides what to ask the service that permits steps on workers. It handles one question of a process at a time, so
 * one is open at most, and the first step in rank that found no permitted worker goes first.
 */
export class PermitPlanner {
    private isOpen = false;
    private notBeforeMs = 0;

    private constructor(private readonly fleet: WorkerFleet) {}

    static create(fleet: WorkerFleet): PermitPlanner {
        return new PermitPlanner(fleet);
    }

    /** The next question. `waiting` are tasks without a worker, of steps that need permits, in their order. */
    next(waiting: readonly WaitingTask[], nowMs: number): PermitRequest | undefined {
        if (this.isOpen || nowMs < this.notBeforeMs) {
            return undefined;
        }
        for (const each of waiting) {
            const lives = this.livesToAsk(each, nowMs);
            if (lives.length > 0) {
                this.isOpen = true;
                return { step: each.task.step, workers: lives };
            }
        }
        return undefined;
    }

    /** Takes the answer to a question. Without one the same is asked again after a pause. */
    noteAnswer(
        { step, workers: lives }: PermitRequest,
        tickets: ReadonlyMap<string, string> | undefined,
        untilMs: number,
        nowMs: number,
    ): void {
        this.isOpen = false;
        if (tickets === undefined) {
            this.notBeforeMs = nowMs + RetryDelayMs;
        } else {
            step.permits?.record(lives, tickets, untilMs);
        }
    }

    /** Workers with room that may be permitted, those that once were first, then those with the most room. */
    private livesToAsk({ task, service }: WaitingTask, nowMs: number): WorkerIncarnation[] {
        const { permits, reservation: held } = task.step;
        if (permits === undefined) {
            return [];
        }
        const lives = [...this.fleet.workers].filter(
            life =>
                !permits.isDenied(life) &&
                permits.ticketFor(life, nowMs) === undefined &&
                life.hasCapacityFor(held) &&
                isSuitableIgnoringPermits(life, task, service, nowMs),
        );
        return lives.sort((a, b) => orderOf(a, task.step) - orderOf(b, task.step)).slice(0, MaxAskedWorkers);
    }
}

/** Lower is asked first: the share of the processors in use, less one for a worker that was permitted before. */
const orderOf = (life: WorkerIncarnation, step: Step): number =>
    life.reserved.processors / Math.max(1, life.entry.capacity.processors) -
    (step.permits?.wasPermitted(life) === true ? 1 : 0);
