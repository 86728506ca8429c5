import type { TargetState } from "./target-state.js";

/** Interface of a request to the dispatcher: it waits for a slot and is then assigned a target. */
export abstract class WaitingRequest {
    abstract readonly routeName: string;
    abstract readonly customer: string;
    /** Monotonic time. */
    abstract readonly deadlineAtMs: number;
    abstract readonly receivedAtMs: number;

    /** Called when a slot of `target` has been taken for this request. */
    abstract dispatch(target: TargetState): void;

    /** Called when the deadline has passed, or will pass before a response can be expected. */
    abstract expire(): void;

    /** Called when the queue is full. */
    abstract rejectQueueFull(): void;

    /** Called when all usable targets are in other regions and the links have no capacity. */
    abstract rejectLinkLimited(): void;
}
