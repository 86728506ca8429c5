/** A disruption of the owner, of the store or of one worker. */
export interface OwnerDisruption {
    /**
     * `kill` and `stop` end the owner; another one claims the cell after `durationMs`. With `overlap` another one claims it
     * at once, and the owner goes on without the store until a worker refuses its token, or for `durationMs`.
     */
    readonly kind:
        | "cut"
        /** The current owner has no path to the worker; a previous one that goes on has. */
        | "cut-from-next"
        | "restart"
        | "stale-registrations"
        | "store-down"
        | "kill"
        | "stop"
        | "overlap"
        /** The data centre of the worker is evacuated. */
        | "evacuate";
    readonly worker: number;
    readonly atMs: number;
    readonly durationMs: number;
}
