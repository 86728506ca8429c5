import { ManualClock } from "@samphireward/core/manual-clock";
import { JobState } from "@samphireward/jobs/job-state";
import { Ok } from "ts-results-es";
import t from "tap";
import type { CellCandidate } from "../src/cell-candidate.js";
import { CellDirectory } from "../src/cell-directory.js";
import { cellKeys } from "../src/cell-keys.js";
import { jobCodec } from "../src/job-codec.js";
import { JobGateway } from "../src/job-gateway.js";
import { JobWriter } from "../src/job-writer.js";
import { PeerClient } from "../src/peer-client.js";
import { ManualStore } from "./manual-store.js";
import { NullLog } from "./null-log.js";
import { oneTaskJob } from "./one-task-job.js";

const { id } = oneTaskJob;

// Guards against callers who are shown a job as failed without the reason, because its owner is not reached.
t.test("the stored status of a job has the reason of its end", async t => {
    const store = ManualStore.create();
    const cells = CellDirectory.create();
    const noOwner: Pick<CellCandidate, "owner" | "ownerRecord"> = {
        owner: undefined,
        ownerRecord: undefined,
    };
    cells.set([noOwner as CellCandidate]);
    const clock = ManualClock.create(0);
    const progress = {
        endState: JobState.Failed,
        endReason: "worker-crashes",
        endedAtMs: 9,
        hasStarted: true,
        nextOccurrence: 1,
        open: [],
    } as const;
    store.items = [
        { key: cellKeys.job(0, id), value: jobCodec.encodeJob(oneTaskJob), revision: 1 },
        { key: cellKeys.progress(0, id), value: jobCodec.encodeProgress(progress), revision: 1 },
    ];
    const writer = JobWriter.create(store, clock);
    const gateway = JobGateway.create(cells, store, writer, PeerClient.create(), clock, NullLog.create());
    t.strictSame(await gateway.status(id), Ok({ state: "failed", reason: "worker-crashes" }));
});
