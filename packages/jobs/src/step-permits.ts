import type { WorkerIncarnation } from "./worker-incarnation.js";

/** Permission to start tasks of a step on one incarnation of a worker. */
interface Permit {
    readonly ticket: string;
    /** Monotonic time at which the permit expires. */
    readonly untilMs: number;
}

/** On which workers a step may run, as far as the permit service has answered. */
export class StepPermits {
    /** By worker key. Which workers may run a step does not change, so expired permits show where to ask again. */
    private readonly permits = new Map<string, Permit>();
    private readonly denied = new Set<string>();

    private constructor() {}

    static create(): StepPermits {
        return new StepPermits();
    }

    /** Returns the valid ticket for a worker; undefined if the step may not start there now. */
    ticketFor(worker: WorkerIncarnation, nowMs: number): string | undefined {
        const permit = this.permits.get(worker.key);
        return permit !== undefined && nowMs < permit.untilMs ? permit.ticket : undefined;
    }

    isDenied(worker: WorkerIncarnation): boolean {
        return this.denied.has(worker.key);
    }

    /** Whether the worker has had a permit, which may have expired. */
    wasPermitted(worker: WorkerIncarnation): boolean {
        return this.permits.has(worker.key);
    }

    /** Records an answer for the requested workers: `tickets` by the ids of those that may run the step. */
    record(asked: readonly WorkerIncarnation[], tickets: ReadonlyMap<string, string>, untilMs: number): void {
        for (const worker of asked) {
            const ticket = tickets.get(worker.entry.id);
            if (ticket === undefined) {
                this.denied.add(worker.key);
            } else {
                this.permits.set(worker.key, { ticket, untilMs });
            }
        }
    }

    /** Invalidates a ticket that the worker rejected, so that a new one is requested before the next start there. */
    expire(worker: WorkerIncarnation): void {
        const permit = this.permits.get(worker.key);
        if (permit !== undefined) {
            this.permits.set(worker.key, { ...permit, untilMs: 0 });
        }
    }
}
