/** Work that a new job of one service and priority may have to wait for, and the capacity for it. */
export interface QueueBacklog {
    /** Processors of the service's workers that lasting tasks leave; 0 if there are none. */
    readonly processors: number;
    /** Running work and waiting work of higher priorities, in processor-milliseconds. */
    readonly firstMs: number;
    /**
     * Waiting work of this priority, ascending by latest start (wall-clock time, in milliseconds since 1970). `sumMs` is the
     * work up to and including the entry, in processor-milliseconds.
     */
    readonly byLatestStart: readonly { readonly startByMs: number; readonly sumMs: number }[];
}
