/** A disruption of the owner, of the store or of one worker. */
export interface OwnerDisruption {
    /** `kill` and `stop` end the owner; another one claims the cell after `durationMs`. */
    readonly kind: "cut" | "restart" | "stale-registrations" | "store-down" | "kill" | "stop";
    readonly worker: number;
    readonly atMs: number;
    readonly durationMs: number;
}
