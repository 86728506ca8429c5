/** Settings of a job queue, from the operators' table. */
export interface QueueRule {
    readonly name: string;
    /** Service whose workers run the queue's tasks. */
    readonly service: string;
    /** Lower values go first; 0 is the highest priority. */
    readonly priority: number;
    /** Number of failed runs of one task after which its job fails. */
    readonly maxAttempts: number;
    /** A job's target time is this factor times its critical path, plus `targetMs`. */
    readonly stretch: number;
    readonly targetMs: number;
    /** Whether the external permit service decides on which workers a step of the queue may run. */
    readonly needsPermits: boolean;
}
