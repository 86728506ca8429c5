/** Why a lasting task has no confirmed run; logged with each reported wait. */
export const LastingWaitReason = {
    /** The configuration has no rule for the job's queue. */
    NoRule: "no-rule",
    /** Its start has not been confirmed yet. */
    NoAnswer: "no-answer",
    /** A worker of a previous owner has not listed its runs, and the task may be running there. */
    Unread: "workers-unread",
    /** It is not started before a time, after a preemption, a refusal or a start that may be carried out late. */
    Delayed: "delayed",
    /** No worker of its service is reachable, known and open for starts. */
    Unreachable: "unreachable",
    /** Its label, its maximum per worker or its earlier runs rule out each reachable worker. */
    Restricted: "restricted",
    /** No suitable worker has enough free capacity. */
    NoCapacity: "no-capacity",
    /** No suitable worker with capacity is permitted. */
    NoPermit: "no-permit",
    /** The workers with capacity run other images, and the task still waits for a better fit. */
    PoorFit: "poor-fit",
    /** The workers with capacity keep it for the images of a serving task that has just ended there. */
    KeptForSameImages: "same-images",
    /** It is suspected to crash its workers, and starts only in a trial, of which there are few at a time. */
    Trial: "trial",
    /** The members of its gang do not fit at the same time. */
    Gang: "gang",
    /** A worker would get it if a plan were made now. */
    NextPlan: "next-plan",
} as const;

export type LastingWaitReason = (typeof LastingWaitReason)[keyof typeof LastingWaitReason];
