/** What a checker reads with `GET /v1/stats`. */
export interface WorkerStats {
    /** Starts that ran, by `<key>#<attempt>`. */
    readonly starts: Record<string, number>;
    /** Starts of a key of which another attempt still ran here. */
    concurrentDuplicates: number;
    overcommitRefusals: number;
    staleEpochRefusals: number;
    staleAttemptRefusals: number;
    /** Requests that ran on the service port, by `samphireward-request-id`. */
    readonly requests: Record<string, number>;
    overSlotRefusals: number;
    overConnectionRefusals: number;
}
