import type { CrashProof } from "./crash-proof.js";

/** A worker that is known to have crashed under a task. */
export interface CrashedWorker {
    /** Key of the incarnation, `id/start time`. */
    readonly worker: string;
    readonly proof: CrashProof;
}
