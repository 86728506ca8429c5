import type { WorkerEntry } from "@samphireward/jobs/worker-entry";
import type { WorkerClient } from "./worker-client.js";

/** Creates the client of a worker. */
export type WorkerClientFactory = (entry: WorkerEntry) => WorkerClient;
