/** Why a cancellation was not carried out; it may be repeated. */
export interface CancelFailure {
    readonly reason: string;
    /** Time after which it may succeed, in milliseconds, if that is known. */
    readonly retryMs?: number;
}
