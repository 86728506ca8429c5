import type { JobSchedule } from "./job-schedule.js";
import type { StepSpec } from "./step-spec.js";

/** A job as submitted. */
export interface JobSpec {
    readonly id: string;
    /** Name of the route by which the job was submitted. */
    readonly queue: string;
    /** Text that is passed to the tasks unchanged. */
    readonly payload: string;
    readonly steps: readonly StepSpec[];
    /** Absent for a job that runs once, as soon as it is accepted. */
    readonly schedule: JobSchedule | undefined;
    /** Wall-clock time of its arrival, in milliseconds since 1970. */
    readonly arrivedAtMs: number;
}
