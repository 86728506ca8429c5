/** How the owner knows that a worker has crashed under a task. */
export const CrashProof = {
    /** Another incarnation or another worker has taken its place. */
    Replaced: "replaced",
    /** A previous owner had noted it with the task, and it is gone. */
    Inherited: "inherited",
} as const;

export type CrashProof = (typeof CrashProof)[keyof typeof CrashProof];
