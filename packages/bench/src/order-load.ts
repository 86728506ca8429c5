import type { QueueRule } from "@samphireward/jobs/queue-rule";
import type { JobSpec } from "@samphireward/jobs/job-spec";

/** A job of a load, with what its tasks really take. */
interface LoadJob {
    readonly spec: JobSpec;
    /** Real duration of its tasks relative to their estimate. */
    readonly trueFactor: number;
}

/** A seeded load of a small cell: jobs by arrival, and when half of the workers take no starts. */
export interface OrderLoad {
    readonly name: string;
    readonly rules: readonly QueueRule[];
    readonly jobs: readonly LoadJob[];
    /** Time from and until which half of the workers take no starts; undefined if they always do. */
    readonly outage: readonly [fromMs: number, untilMs: number] | undefined;
}
