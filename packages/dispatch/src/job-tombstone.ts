/**
 * Stored under the key of a job that a caller cancelled before it was stored, so that a submission that is still on its
 * way is not accepted afterwards.
 */
export interface JobTombstone {
    /** Wall-clock time of the cancellation, in milliseconds since 1970. */
    readonly cancelledAtMs: number;
}
