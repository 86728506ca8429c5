/** What is known about the loss of an attempt on a worker that crashed or does not answer. Stored texts. */
export const LossVerdict = {
    /** The lease has ended without an answer of the worker, which has crashed or is cut off. */
    Lost: "lost",
    /** The worker has lost its tasks; which of them share the blame is not decided yet. */
    Restarted: "restarted",
    /** The worker crashed, and the task shares the blame. */
    Crashed: "crashed",
    /** The loss has another cause: a planned leave, a VM that was taken away, the loss of most of the rack or cell, or another task. */
    Excused: "excused",
    /** The worker was only cut off. */
    Cleared: "cleared",
    /** The task has run long enough on another worker; all its losses are cleared. */
    Trusted: "trusted",
} as const;

export type LossVerdict = (typeof LossVerdict)[keyof typeof LossVerdict];
