/** Why a worker cannot take a task of a step now. */
export const ExclusionReason = {
    OtherService: "serves another service",
    Draining: "is draining",
    Evacuated: "its data centre is evacuated",
    NotRegistered: "is not registered",
    Unreachable: "cannot be reached",
    Unread: "has not listed its runs yet",
    LeaseNotExtended: "its lease may not be extended",
    NotInRoster: "is not in the stored roster yet",
    Avoided: "is avoided after failures",
    Stalled: "makes hardly any progress",
    NoLabel: "lacks the required label",
    MaxPerWorker: "has the maximum number of tasks of the step",
    TooSmall: "is too small for the task",
    Held: "is held for another step",
    NoProcessors: "has too few free processors",
    NoMemory: "has too little free memory",
    NoAccelerators: "has too few free accelerators",
    NoPermit: "the step has no permit for it",
    OnTrial: "runs another task on trial",
    PoorFit: "its images or unused processors do not suit the task",
    /** A predicate of the planner excludes the worker for a reason that is not listed here. */
    Other: "accepts no starts for another reason",
} as const;

export type ExclusionReason = (typeof ExclusionReason)[keyof typeof ExclusionReason];
