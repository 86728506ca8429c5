import type { WorkerEntry } from "./worker-entry.js";

/** Unique key of a worker's incarnation, `id/start time`. */
export const workerKey = ({ id, startedAtMs }: WorkerEntry): string => `${id}/${startedAtMs}`;
