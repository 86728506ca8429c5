import type { JobSpec } from "./job-spec.js";

/** Returns the number of tasks of one run through the steps of a job. */
export const taskCount = ({ steps }: JobSpec): number => steps.reduce((sum, { count }) => sum + count, 0);
