import { ManualClock } from "@samphireward/core/manual-clock";
import type { JobProgress } from "@samphireward/jobs/job-progress";
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

/** A gateway that reaches no owner, so that it answers from the stored progress of the job. */
const gatewayWithoutOwner = (progress: JobProgress | undefined): JobGateway => {
    const store = ManualStore.create();
    const cells = CellDirectory.create();
    const noOwner: Pick<CellCandidate, "owner" | "ownerRecord"> = {
        owner: undefined,
        ownerRecord: undefined,
    };
    cells.set([noOwner as CellCandidate]);
    const clock = ManualClock.create(0);
    store.items = [{ key: cellKeys.job(0, id), value: jobCodec.encodeJob(oneTaskJob), revision: 1 }];
    if (progress !== undefined) {
        const value = jobCodec.encodeProgress(progress);
        store.items = [...store.items, { key: cellKeys.progress(0, id), value, revision: 1 }];
    }
    const writer = JobWriter.create(store, clock);
    return JobGateway.create(cells, store, writer, PeerClient.create(), clock, NullLog.create());
};

// Guards against callers who are shown a job as failed without the reason, because its owner is not reached.
t.test("the stored status of a job has the reason of its end", async t => {
    const progress = {
        endState: JobState.Failed,
        endReason: "worker-crashes",
        endedAtMs: 9,
        hasStarted: true,
        nextOccurrence: 1,
        open: [],
    } as const;
    const gateway = gatewayWithoutOwner(progress);
    t.strictSame(await gateway.status(id), Ok({ state: "failed", reason: "worker-crashes" }));
});

// Guards against callers who are shown "running" for a job of which no worker has begun a task, because a start that was
// refused has been stored by an earlier build, and against "queued" for one that has begun.
t.test("the stored status of a job is running once a worker has begun one of its tasks", async t => {
    const stored: JobProgress = {
        endState: undefined,
        endedAtMs: 0,
        hasStarted: true,
        nextOccurrence: 1,
        open: [{ number: 0, steps: [{ doneBits: "0", marks: [] }] }],
    };
    const cases: readonly [name: string, progress: JobProgress | undefined, state: JobState][] = [
        ["nothing is stored", undefined, JobState.Queued],
        ["not started", { ...stored, hasStarted: false }, JobState.Queued],
        ["planned by an earlier build", stored, JobState.Queued],
        ["confirmed", { ...stored, isStartConfirmed: true }, JobState.Running],
    ];
    for (const [name, progress, state] of cases) {
        t.strictSame(await gatewayWithoutOwner(progress).status(id), Ok({ state }), name);
    }
});
