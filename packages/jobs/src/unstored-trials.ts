import type { Job } from "./job.js";
import type { Trial } from "./trial.js";

/** Trials of a job that its stored progress does not name yet; to be marked as stored once a write of it is durable. */
export const unstoredTrials = (job: Job): readonly Trial[] =>
    [...job.tasks()].flatMap(({ trial }) => (trial === undefined || trial.isStored ? [] : [trial]));
