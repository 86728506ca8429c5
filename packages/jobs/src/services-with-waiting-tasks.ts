import { isOpenToStep } from "./is-open-to-step.js";
import { isReady } from "./is-ready.js";
import type { JobRegistry } from "./job-registry.js";
import type { QueueRules } from "./queue-rules.js";
import type { Step } from "./step.js";
import type { WorkerFleet } from "./worker-fleet.js";

/** What decides whether a task waits. */
interface WaitContext {
    readonly jobs: JobRegistry;
    readonly fleet: WorkerFleet;
    readonly rules: QueueRules;
    readonly nowMs: number;
    /** Whether a worker that has not listed its runs may have some of the job, so that none of its tasks start. */
    readonly isBlocked: (job: string) => boolean;
}

/** Whether a worker that accepts starts could take a task of the step if nothing else ran there. */
const isPlaceable = (step: Step, service: string, { fleet, nowMs }: WaitContext): boolean => {
    for (const worker of fleet.workers) {
        if (
            step.reservation.fitsIn(worker.entry.capacity) &&
            step.permits?.isDenied(worker) !== true &&
            isOpenToStep(worker, step, service, nowMs)
        ) {
            return true;
        }
    }
    return false;
};

/**
 * The services with a task that waits for capacity. Tasks that reserve no processors do not count, nor do those that no
 * worker could take: capacity would not help them, and they may wait for ever.
 */
export const servicesWithWaitingTasks = (context: WaitContext): ReadonlySet<string> => {
    const { jobs, rules, isBlocked, nowMs } = context;
    const services = new Set<string>();
    for (const job of jobs.undecided) {
        const service = rules.get(job.spec.queue)?.service;
        if (service === undefined || services.has(service) || isBlocked(job.spec.id)) {
            continue;
        }
        for (const step of job.openSteps()) {
            const isWaiting = !step.spec.filler && step.tasks.some(task => isReady(task, nowMs));
            if (isWaiting && isPlaceable(step, service, context)) {
                services.add(service);
                break;
            }
        }
    }
    return services;
};
