import { OrderFailure } from "./order-failure.js";

/** Outcome of a heartbeat, as the metrics count it. */
export const HeartbeatOutcome = {
    ...OrderFailure,
    /** The worker listed its runs. */
    Answered: "answered",
    /** The worker listed its runs after the heartbeat had been counted as unanswered. */
    Late: "late",
} as const;

export type HeartbeatOutcome = (typeof HeartbeatOutcome)[keyof typeof HeartbeatOutcome];
