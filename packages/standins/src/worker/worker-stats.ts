/** Counters that a checker reads with `GET /v1/stats`. */
export interface WorkerStats {
    /** Number of accepted starts, by `<key>#<attempt>`. */
    readonly starts: Record<string, number>;
    /** Starts of a task while another attempt of it was still running on this worker. */
    concurrentDuplicates: number;
    overcommitRefusals: number;
    staleEpochRefusals: number;
    staleAttemptRefusals: number;
    /** Number of times that a request ran on the service port, by `samphireward-request-id`. */
    readonly requests: Record<string, number>;
    overSlotRefusals: number;
    overConnectionRefusals: number;
}
