/** Source of time, replaced by a manual clock in tests. */
export abstract class Clock {
    /** Monotonic time in milliseconds; only differences are meaningful. */
    abstract nowMs(): number;

    /** Wall-clock time in milliseconds since 1970, for display and records only. */
    abstract wallMs(): number;
}
