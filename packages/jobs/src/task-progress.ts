import type { CrashEvidenceFields } from "@samphireward/core/crash-evidence-fields";
import type { LostWorker } from "./lost-worker.js";

/** Durable state of a task that is not done but has been started or has a checkpoint. */
export interface TaskProgress {
    readonly index: number;
    /** Numbers of the runs that ended as failed. */
    readonly failedRuns: readonly number[];
    readonly lastRun: number;
    readonly checkpoint: string;
    /** Number of crashes that the task may have caused, at most 2, since earlier builds give a task up at 3; absent if none. */
    readonly suspicion?: number;
    /** The crashes that the task may have caused; absent if the number says the same, as in the progress of earlier builds. */
    readonly crashes?: CrashEvidenceFields;
    /** Workers that were lost under the task and may have crashed; absent if there are none, and in earlier builds. */
    readonly lostWorkers?: readonly LostWorker[];
    /** Key of the worker whose loss without a listed end counts against the task; absent if there is none. */
    readonly suspectWorker?: string;
    /** Its address; absent in the progress of earlier builds. */
    readonly suspectAddress?: string;
}
