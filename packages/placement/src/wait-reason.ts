/** Why a policy chooses no worker for a task; the error of a `PlacementDecision`, shown to operators. */
export const WaitReason = {
    NoRoom: "no open worker has enough free capacity",
    /** Must not be passed on to `TaskQueue.markBlocked`, since later tasks need not wait behind this one. */
    WouldInterfere: "every worker with room runs latency-critical work that the task would disturb",
} as const;

export type WaitReason = (typeof WaitReason)[keyof typeof WaitReason];
