import type { Clock } from "@samphireward/core/clock";
import type { CellScheduler } from "@samphireward/jobs/cell-scheduler";
import type { EventLog } from "./event-log.js";
import type { PermitSource } from "./permit-source.js";

/** A start needs this long to reach its worker, where the ticket has to be valid still. */
const TicketMarginMs = 200;

/** What the client needs of the cell's owner. */
interface ClientContext {
    readonly scheduler: CellScheduler;
    readonly permits: PermitSource;
    readonly clock: Clock;
    readonly log: EventLog;
}

/** Asks where steps may run whose queues need permits, as the scheduler says. */
export class PermitRequester {
    private constructor(private readonly context: ClientContext) {}

    static create(context: ClientContext): PermitRequester {
        return new PermitRequester(context);
    }

    /** Asks the next question, if there is one, and hands the answer to the scheduler. Returns whether it asked. */
    async requestNext(): Promise<boolean> {
        const { scheduler, permits, clock, log } = this.context;
        const req = scheduler.nextPermitRequest();
        if (req === undefined) {
            return false;
        }
        const sentAtMs = clock.nowMs();
        const answer = await permits.request(
            req.step.name,
            req.workers.map(({ entry }) => entry.id),
        );
        // The service counts from its answer; counting from the question is earlier, never later.
        const untilMs = sentAtMs + (answer?.validMs ?? 0) - TicketMarginMs;
        scheduler.notePermits(req, answer?.tickets, untilMs);
        log.write("permits", {
            step: req.step.name,
            asked: req.workers.length,
            permitted: answer?.tickets.size,
            validMs: answer?.validMs,
            tookMs: Math.round(clock.nowMs() - sentAtMs),
        });
        return true;
    }
}
