import type { WorkerIncarnation } from "./worker-incarnation.js";

/** Leave to start tasks of a step on one life of a worker. */
interface Permit {
    readonly ticket: string;
    /** Monotonic time from which it is not valid any more. */
    readonly untilMs: number;
}

/** On which workers a step may run, as far as the service that decides it has answered. */
export class StepPermits {
    /** By life. Which workers may run a step does not change, so an expired permit tells where to ask again. */
    private readonly permits = new Map<string, Permit>();
    private readonly denied = new Set<string>();

    private constructor() {}

    static create(): StepPermits {
        return new StepPermits();
    }

    /** Undefined while the step may not start there. */
    ticketFor(life: WorkerIncarnation, nowMs: number): string | undefined {
        const permit = this.permits.get(life.key);
        return permit !== undefined && nowMs < permit.untilMs ? permit.ticket : undefined;
    }

    isDenied(life: WorkerIncarnation): boolean {
        return this.denied.has(life.key);
    }

    /** Whether the worker was named before; its permit may have expired. */
    wasPermitted(life: WorkerIncarnation): boolean {
        return this.permits.has(life.key);
    }

    /** Takes an answer about some workers: `tickets` by the id of each that may run the step. */
    record(asked: readonly WorkerIncarnation[], tickets: ReadonlyMap<string, string>, untilMs: number): void {
        for (const life of asked) {
            const ticket = tickets.get(life.entry.id);
            if (ticket === undefined) {
                this.denied.add(life.key);
            } else {
                this.permits.set(life.key, { ticket, untilMs });
            }
        }
    }

    /** The worker did not accept the ticket: the service is asked again before the next start there. */
    expire(life: WorkerIncarnation): void {
        const permit = this.permits.get(life.key);
        if (permit !== undefined) {
            this.permits.set(life.key, { ...permit, untilMs: 0 });
        }
    }
}
