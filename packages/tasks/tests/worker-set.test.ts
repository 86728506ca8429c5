import { Resources } from "@samphireward/core/resources";
import type { WorkerInfo } from "@samphireward/core/worker-info";
import t from "tap";
import { UnreachableWorkerClient } from "../src/unreachable-worker-client.js";
import type { WorkerEntry } from "../src/worker-entry.js";
import type { WorkerLink } from "../src/worker-link.js";
import { WorkerSet } from "../src/worker-set.js";

const reserve = Resources.create({ processors: 1, memoryMb: 100, accelerators: 0 });
const task = Resources.create({ processors: 2, memoryMb: 100, accelerators: 0 });
const listed: WorkerInfo = {
    name: "w1",
    taskAddress: "127.0.0.1:1",
    serviceAddress: "127.0.0.1:2",
    dataCentre: "a",
    rack: "r1",
    capacity: Resources.create({ processors: 4, memoryMb: 1_000, accelerators: 0 }),
    leaving: false,
};

/** A link that makes no calls. */
const createLink = (entry: WorkerEntry): WorkerLink =>
    ({
        entry,
        state: { isGone: false, isLeaving: false },
        setGone: () => undefined,
        replaceClient: () => undefined,
    }) as unknown as WorkerLink;

// Guards against a task that is refused for good as too large after a change of owner: the workers of replayed records
// counted as listed, without capacity, when the reserve was set before the first list of the directory.
t.test("workers that are only known from records do not count as listed", t => {
    const workers = WorkerSet.create(
        { createClient: () => UnreachableWorkerClient.create(), createLink, onRemoved: () => undefined },
        reserve,
    );
    workers.getOrCreate("w1");
    workers.setServiceReserve(reserve);
    t.equal(workers.hasListedWorkers, false);
    workers.update([]);
    t.equal(workers.hasListedWorkers, false);
    workers.update([listed]);
    t.equal(workers.hasListedWorkers, true);
    t.equal(workers.fitsAnyWorker(task), true);
    workers.setServiceReserve(Resources.create({ processors: 3, memoryMb: 100, accelerators: 0 }));
    t.equal(workers.fitsAnyWorker(task), false, "a larger reserve is applied");
    t.end();
});
