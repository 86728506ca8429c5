import type { Clock } from "@samphireward/core/clock";
import type { CellScheduler } from "@samphireward/jobs/cell-scheduler";
import type { EventLog } from "./event-log.js";
import type { PermitSource } from "./permit-source.js";

/** Time that a start may take to reach its worker, where the ticket must still be valid. */
const TicketMarginMs = 200;

/** Dependencies provided by the cell's owner. */
interface RequesterContext {
    readonly scheduler: CellScheduler;
    readonly permits: PermitSource;
    readonly clock: Clock;
    readonly log: EventLog;
}

/** Requests permits for steps whose queues need them, as selected by the scheduler. */
export class PermitRequester {
    private constructor(private readonly context: RequesterContext) {}

    static create(context: RequesterContext): PermitRequester {
        return new PermitRequester(context);
    }

    /**
     * Sends the next request, if there is one, and passes the response to the scheduler. Returns whether it sent one.
     */
    async requestNext(): Promise<boolean> {
        const { scheduler, permits, clock, log } = this.context;
        const req = scheduler.nextPermitRequest();
        if (req === undefined) {
            return false;
        }
        const sentAtMs = clock.nowMs();
        const response = await permits.request(
            req.step.name,
            req.workers.map(({ entry }) => entry.id),
        );
        // The validity begins with the service's response; counted from the request, it ends earlier and never later.
        const expiresAtMs = sentAtMs + (response?.validMs ?? 0) - TicketMarginMs;
        scheduler.notePermits(req, response?.tickets, expiresAtMs);
        log.write("permits", {
            step: req.step.name,
            asked: req.workers.length,
            permitted: response?.tickets.size,
            validMs: response?.validMs,
            tookMs: Math.round(clock.nowMs() - sentAtMs),
        });
        return true;
    }
}
