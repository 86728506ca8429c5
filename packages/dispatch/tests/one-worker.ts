import { Resources } from "@samphireward/core/resources";
import type { WorkerEntry } from "@samphireward/jobs/worker-entry";

/** The registration of a worker with room for a few tasks. */
export const oneWorker: WorkerEntry = {
    id: "w1",
    startedAtMs: 1,
    address: "127.0.0.1:1",
    service: "desk",
    zone: "zone",
    rack: "r1-1",
    labels: [],
    capacity: Resources.create({ processors: 4, memoryMb: 1_000 }),
    isDraining: false,
};
