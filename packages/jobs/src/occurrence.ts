import type { Job } from "./job.js";
import { Step } from "./step.js";

/** One execution of all steps of a job. */
export class Occurrence {
    readonly steps: readonly Step[];

    private constructor(
        readonly job: Job,
        readonly number: number,
        /** Wall-clock time from which its tasks may start, in milliseconds since 1970. */
        readonly dueAtMs: number,
    ) {
        this.steps = job.spec.steps.map((spec, index) => Step.create(this, index, spec));
        for (let index = this.steps.length - 1; index >= 0; index--) {
            this.setCriticalPath(index);
        }
    }

    static create(job: Job, number: number, dueAtMs: number): Occurrence {
        return new Occurrence(job, number, dueAtMs);
    }

    /** Estimated time from its start to its end if every task starts as soon as its step opens, in milliseconds. */
    get criticalPathMs(): number {
        return Math.max(0, ...this.steps.map(step => step.criticalPathMs));
    }

    get isDone(): boolean {
        return this.steps.every(step => step.isDone);
    }

    private setCriticalPath(index: number): void {
        const step = this.steps[index];
        if (step === undefined) {
            return;
        }
        const dependents = this.steps.filter(other => other.spec.after.includes(index));
        step.criticalPathMs =
            step.spec.estimatedMs + Math.max(0, ...dependents.map(other => other.criticalPathMs));
    }
}
