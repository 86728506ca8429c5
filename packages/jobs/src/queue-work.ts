import type { Job } from "./job.js";
import { jobWorkMs } from "./job-work-ms.js";

/** Weight of a further job in the mean once enough jobs have been seen; older jobs count less and less. */
const MinWeight = 0.01;
/** Worth of a job without work: each result has some worth, however little work it takes. */
const MinWorth = 0.3;
/** A job's worth is at most this many times the mean worth of its queue, which is 1. */
const MaxWorth = 4;

/** Mean work of the jobs of each queue, learned from the jobs that the owner has seen, and the worth that follows from it. */
export class QueueWork {
    private readonly seen = new WeakMap<Job, number>();
    private readonly means = new Map<string, { meanMs: number; count: number }>();

    private constructor() {}

    static create(): QueueWork {
        return new QueueWork();
    }

    /** Worth of a job's result to its callers, relative to the mean of its queue: from 0.3 to 4. */
    worthOf(job: Job): number {
        const workMs = this.workOf(job);
        const meanMs = this.means.get(job.spec.queue)?.meanMs ?? workMs;
        return Math.min(MaxWorth, MinWorth + (1 - MinWorth) * (meanMs > 0 ? workMs / meanMs : 1));
    }

    private workOf(job: Job): number {
        const known = this.seen.get(job);
        if (known !== undefined) {
            return known;
        }
        const workMs = jobWorkMs(job.spec);
        this.seen.set(job, workMs);
        const mean = this.means.get(job.spec.queue) ?? { meanMs: 0, count: 0 };
        mean.count++;
        mean.meanMs += (workMs - mean.meanMs) * Math.max(MinWeight, 1 / mean.count);
        this.means.set(job.spec.queue, mean);
        return workMs;
    }
}
