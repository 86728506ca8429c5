import type { JobSpec } from "./job-spec.js";

/** Work of one run through a job's steps that end, by its estimates, in processor-milliseconds. */
export const jobWorkMs = ({ steps }: JobSpec): number =>
    steps.reduce(
        (sum, { count, resources, estimatedMs, lasting, filler }) =>
            lasting || filler ? sum : sum + count * resources.processors * estimatedMs,
        0,
    );
