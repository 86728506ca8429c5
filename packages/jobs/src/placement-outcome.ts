/** What would happen to a job that was accepted now. */
export const PlacementOutcome = {
    /** A task of the step starts with the next plan. */
    Starts: "starts",
    /** The step waits for capacity or for a permit. */
    Waits: "waits",
    /** No worker of the queue's service could ever run a task of the step, so the step waits for another worker. */
    FitsNoWorker: "fits-no-worker",
    /** The job would not be accepted: its result could not be of use. */
    Refused: "refused",
    /** The job is not due yet, or its queue has as many open tasks as an owner keeps. */
    NotOpen: "not-open",
    /** A job with this id was accepted earlier; accepting it again changes nothing. */
    Known: "known",
} as const;

export type PlacementOutcome = (typeof PlacementOutcome)[keyof typeof PlacementOutcome];
