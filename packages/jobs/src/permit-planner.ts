import { isSuitableIgnoringPermits } from "./is-suitable-ignoring-permits.js";
import type { PermitRequest } from "./permit-request.js";
import type { Step } from "./step.js";
import type { WaitingTask } from "./waiting-task.js";
import type { WorkerFleet } from "./worker-fleet.js";
import type { WorkerIncarnation } from "./worker-incarnation.js";

/** The permit service takes some time for each worker, so a request for all of them would be answered late. */
const MaxWorkersPerRequest = 30;
/** Delay before an unanswered request is repeated. */
const RetryDelayMs = 200;

/**
 * Decides which request to send to the permit service. The service handles one request of a process at a time, so at
 * most one is open; the highest ranked step that found no permitted worker goes first.
 */
export class PermitPlanner {
    private isRequestOpen = false;
    private notBeforeMs = 0;

    private constructor(private readonly fleet: WorkerFleet) {}

    static create(fleet: WorkerFleet): PermitPlanner {
        return new PermitPlanner(fleet);
    }

    /** Returns the next request. `waiting` lists the tasks without a worker whose steps need permits, in rank order. */
    next(waiting: readonly WaitingTask[], nowMs: number): PermitRequest | undefined {
        if (this.isRequestOpen || nowMs < this.notBeforeMs) {
            return undefined;
        }
        for (const waitingTask of waiting) {
            const workers = this.workersToRequest(waitingTask, nowMs);
            if (workers.length > 0) {
                this.isRequestOpen = true;
                return { step: waitingTask.task.step, workers };
            }
        }
        return undefined;
    }

    /** Records the answer to a request; an unanswered request (`tickets` undefined) is repeated after a delay. */
    noteAnswer(
        { step, workers }: PermitRequest,
        tickets: ReadonlyMap<string, string> | undefined,
        untilMs: number,
        nowMs: number,
    ): void {
        this.isRequestOpen = false;
        if (tickets === undefined) {
            this.notBeforeMs = nowMs + RetryDelayMs;
        } else {
            step.permits?.record(workers, tickets, untilMs);
        }
    }

    /** Workers with capacity that may be permitted: previously permitted ones first, then by free processors. */
    private workersToRequest({ task, service }: WaitingTask, nowMs: number): WorkerIncarnation[] {
        const { permits } = task.step;
        if (permits === undefined) {
            return [];
        }
        const workers = [...this.fleet.workers].filter(
            worker =>
                !permits.isDenied(worker) &&
                permits.ticketFor(worker, nowMs) === undefined &&
                worker.hasCapacityFor(task.step) &&
                isSuitableIgnoringPermits(worker, task, service, nowMs),
        );
        return workers
            .sort((a, b) => requestOrder(a, task.step) - requestOrder(b, task.step))
            .slice(0, MaxWorkersPerRequest);
    }
}

/** Sort key, ascending: the share of reserved processors, less one for a previously permitted worker. */
const requestOrder = (worker: WorkerIncarnation, step: Step): number =>
    worker.reserved.processors / Math.max(1, worker.entry.capacity.processors) -
    (step.permits?.wasPermitted(worker) === true ? 1 : 0);
