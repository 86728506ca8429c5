import type { JobSpec } from "@samphireward/jobs/job-spec";
import type { Result } from "ts-results-es";

/** Decodes the body of a request that submits a job, in the platform's format; the error names the wrong field. */
export type DecodeSubmission = (
    id: string,
    queue: string,
    body: string,
    arrivedAtMs: number,
) => Result<JobSpec, string>;
