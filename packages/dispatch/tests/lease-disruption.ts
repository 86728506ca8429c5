/** A disruption of the owner's process or of one worker. */
export interface LeaseDisruption {
    readonly kind: "cut" | "suspend" | "suspend-with-clock" | "restart" | "stale-registrations";
    readonly worker: number;
    readonly atMs: number;
    readonly durationMs: number;
}
