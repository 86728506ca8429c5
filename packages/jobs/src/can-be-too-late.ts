import type { JobSpec } from "./job-spec.js";

/** Whether a job is one whose result can come too late: it runs once, and its tasks end. */
export const canBeTooLate = ({ schedule, steps }: JobSpec): boolean =>
    schedule === undefined && steps.every(({ lasting, filler }) => !lasting && !filler);
