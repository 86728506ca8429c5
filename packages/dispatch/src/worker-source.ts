import type { WorkerEntry } from "@samphireward/jobs/worker-entry";
import type { Result } from "ts-results-es";
import type { StoreFailure } from "./store-failure.js";

/** Source of the workers' registrations. */
export abstract class WorkerSource {
    /** Reads the current registrations; entries that describe no usable worker are left out. */
    abstract read(): Promise<Result<readonly WorkerEntry[], StoreFailure>>;
}
