/** Waiting work of one priority, and the capacity for it. */
export interface QueueBacklog {
    /** Processors of the service's workers that lasting tasks leave; 0 if there are none. */
    readonly processors: number;
    /** Running work and waiting work of higher priorities, in processor-milliseconds. */
    readonly firstMs: number;
    /** Waiting work of this priority, by latest start: each entry has the sum of the work up to it. */
    readonly byLatestStart: readonly { readonly startByMs: number; readonly sumMs: number }[];
}
