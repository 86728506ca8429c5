import type { TargetState } from "./target-state.js";

/** A request as the dispatcher sees it: it waits for a slot and is then given a target. */
export abstract class WaitingRequest {
    abstract readonly routeName: string;
    abstract readonly customer: string;
    /** Monotonic time. */
    abstract readonly deadlineAtMs: number;
    abstract readonly receivedAtMs: number;

    /** The slot of `target` is taken for this request. */
    abstract dispatch(target: TargetState): void;

    /** The deadline has passed, or will pass before an answer can be expected. */
    abstract expire(): void;

    /** The queue is full. */
    abstract rejectQueueFull(): void;

    /** Only the other region has targets and the link has no room. */
    abstract rejectLinkLimited(): void;
}
