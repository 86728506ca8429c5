/** Why a policy places a task nowhere for now; the error of a `PlacementDecision`, shown to operators. */
export const WaitReason = {
    NoRoom: "no open worker has enough free capacity",
    /** Not to be reported to `TaskQueue.markBlocked`: other tasks need not wait behind this one. */
    WouldInterfere: "every worker with room runs latency-critical work that the task would disturb",
} as const;

export type WaitReason = (typeof WaitReason)[keyof typeof WaitReason];
