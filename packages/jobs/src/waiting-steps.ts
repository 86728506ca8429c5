import type { JobRegistry } from "./job-registry.js";
import type { QueueRules } from "./queue-rules.js";
import type { Step } from "./step.js";

/** A step with tasks that have no run, and the service whose workers may run them. */
interface WaitingStep {
    readonly step: Step;
    readonly service: string;
}

/** Returns the open steps with a task that has no run, also those whose tasks may not start yet. */
export const waitingSteps = (jobs: JobRegistry, rules: QueueRules): WaitingStep[] => {
    const waiting: WaitingStep[] = [];
    for (const job of jobs.undecided) {
        const service = rules.get(job.spec.queue)?.service;
        for (const step of service === undefined ? [] : job.openSteps()) {
            if (service !== undefined && step.tasks.some(task => !task.isDone && task.run === undefined)) {
                waiting.push({ step, service });
            }
        }
    }
    return waiting;
};
