/** A call to a worker of the model. */
export interface LeaseModelCall<T> {
    readonly timeoutMs: number;
    /** Carries the call out at the worker; `isLate` if it is carried out after its caller has given up. */
    readonly execute: (nowMs: number, isLate: boolean) => void;
    /** The response at a time of the model; undefined while the worker still waits. */
    readonly respond: (nowMs: number) => T | undefined;
}
