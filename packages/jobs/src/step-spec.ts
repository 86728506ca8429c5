import type { Resources } from "@samphireward/core/resources";

/** One step of a job: `count` identical tasks, which start when all tasks of the steps in `after` are done. */
export interface StepSpec {
    readonly count: number;
    /** Resources that one task requests. */
    readonly resources: Resources;
    /** The submitter's rough estimate of one task's duration, in milliseconds. */
    readonly estimatedMs: number;
    /** Indexes of earlier steps, from 0. */
    readonly after: readonly number[];
    /** The tasks write checkpoints and resume from them. */
    readonly checkpoints: boolean;
    /** The tasks form a gang: they start together and end together. */
    readonly gang: boolean;
    /** The tasks are slower if they are spread over several racks. */
    readonly sameRack: boolean;
    /** Label that the worker must have. */
    readonly requiredLabel: string | undefined;
    /** Rack that holds the data. */
    readonly preferredRack: string | undefined;
    /** Maximum number of the step's tasks on one worker. */
    readonly maxPerWorker: number | undefined;
    /** Several copies of a task may run at the same time. */
    readonly speculative: boolean;
    /** The tasks run until the job is cancelled and are restarted whenever they end. */
    readonly lasting: boolean;
    /** Image that the tasks run; tasks of one image are assumed to behave alike. */
    readonly image: string;
    /** Target for the tail latency of a serving task, in milliseconds; 0 for tasks that do not serve. */
    readonly tailTargetMs: number;
    /** The tasks are fillers: they use processor time that others leave unused and reserve no processors. */
    readonly filler: boolean;
    /** Maximum number of a lasting step's tasks that the system may make unavailable at the same time. */
    readonly maxUnavailable: number | undefined;
}
