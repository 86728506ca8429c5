import type { Job } from "./job.js";
import type { JobSpec } from "./job-spec.js";
import type { QueueRules } from "./queue-rules.js";
import { reservationFor } from "./reservation-for.js";
import type { StepSpec } from "./step-spec.js";
import type { WorkerEntry } from "./worker-entry.js";
import type { WorkerFleet } from "./worker-fleet.js";

/** Finds out which steps no worker of a cell could run, whatever room it has. Valid as long as the workers don't change. */
export class CapableWorkers {
    private readonly entriesByService = new Map<string, WorkerEntry[]>();
    private readonly results = new Map<string, boolean>();

    private constructor(
        fleet: WorkerFleet,
        private readonly rules: QueueRules,
    ) {
        for (const { entry } of fleet.workers) {
            if (!entry.isDraining) {
                const entries = this.entriesByService.get(entry.service) ?? [];
                entries.push(entry);
                this.entriesByService.set(entry.service, entries);
            }
        }
    }

    static create(fleet: WorkerFleet, rules: QueueRules): CapableWorkers {
        return new CapableWorkers(fleet, rules);
    }

    /** Whether there are workers for every step of a job. */
    existForAll({ steps, queue }: JobSpec): boolean {
        return steps.every(step => this.existFor(step, queue));
    }

    /** Whether there are workers for one of the steps of a job whose turn has come. */
    existForOpenStep(job: Job): boolean {
        const steps = [...job.openSteps()];
        return steps.length === 0 || steps.some(({ spec }) => this.existFor(spec, job.spec.queue));
    }

    /** True while the queue's service has no workers in the cell: nothing is known about them then. */
    private existFor(step: StepSpec, queue: string): boolean {
        const entries = this.entriesByService.get(this.rules.get(queue)?.service ?? "");
        if (entries === undefined) {
            return true;
        }
        const { processors, memoryMb, accelerators } = reservationFor(step);
        const key = [queue, processors, memoryMb, accelerators, step.requiredLabel].join();
        let result = this.results.get(key);
        if (result === undefined) {
            result = entries.some(entry => isCapable(entry, step));
            this.results.set(key, result);
        }
        return result;
    }
}

const isCapable = ({ labels, capacity }: WorkerEntry, step: StepSpec): boolean =>
    (step.requiredLabel === undefined || labels.includes(step.requiredLabel)) &&
    reservationFor(step).fitsIn(capacity);
