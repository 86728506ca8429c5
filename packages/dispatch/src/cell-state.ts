import type { EffectsSnapshot } from "@samphireward/jobs/effects-snapshot";
import type { JobProgress } from "@samphireward/jobs/job-progress";
import type { JobSpec } from "@samphireward/jobs/job-spec";
import type { JobTombstone } from "./job-tombstone.js";
import type { Roster } from "./roster.js";
import type { StoredItem } from "./stored-item.js";
import type { StoredJobProblem } from "./stored-job-problem.js";

/** State of a cell as read from the store. */
export interface CellState {
    readonly jobs: readonly { readonly spec: JobSpec; readonly progress: JobProgress | undefined }[];
    /** Ids of the jobs that cannot be carried. */
    readonly setAside: ReadonlyMap<string, StoredJobProblem>;
    /** Tombstones of jobs that callers cancelled before they were stored. */
    readonly tombstones: readonly (Pick<StoredItem, "key" | "revision"> & JobTombstone)[];
    /** Ids of the stored jobs that callers cancelled. */
    readonly cancelled: readonly string[];
    /** Undefined if no owner has started anything yet. */
    readonly roster: Roster | undefined;
    readonly effects: EffectsSnapshot | undefined;
    /** Revision from which a watch of the cell's input misses no change. */
    readonly revision: number;
}
