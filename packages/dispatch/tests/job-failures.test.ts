import { PauseDetector } from "@samphireward/core/pause-detector";
import type { JobFailure } from "@samphireward/jobs/job-failure";
import { Err, Ok } from "ts-results-es";
import t from "tap";
import type { CellCandidate } from "../src/cell-candidate.js";
import { CellDirectory } from "../src/cell-directory.js";
import { cellKeys } from "../src/cell-keys.js";
import { createPeerServer } from "../src/create-peer-server.js";
import { EpochReporter } from "../src/epoch-reporter.js";
import { jobCodec } from "../src/job-codec.js";
import { JobGateway } from "../src/job-gateway.js";
import { JobWriter } from "../src/job-writer.js";
import { PeerClient } from "../src/peer-client.js";
import { PlacementExplainer } from "../src/placement-explainer.js";
import { FailedCell } from "./failed-cell.js";
import { oneTaskJob } from "./one-task-job.js";
import { ReportedCell } from "./reported-cell.js";

const { id } = oneTaskJob;

interface FailureCase {
    readonly create: () => FailedCell;
    readonly failure: JobFailure;
    readonly reason?: "worker-crashes";
    readonly text: string;
}

const crashedWorkers = ["w1/1", "w2/2", "w3/3", "w4/4"].map(
    worker => ({ worker, proof: "replaced" }) as const,
);
const cases: readonly FailureCase[] = [
    {
        create: () => FailedCell.createByAttempts(),
        failure: { cause: "attempts", task: "0.0.0", failedRuns: 2, limit: 2, configVersion: 9 },
        text: "attempts: task 0.0.0 failed 2 times, limit 2, config 9",
    },
    {
        create: () => FailedCell.createByCrashes(),
        failure: { cause: "worker-crashes", task: "0.0.0", crashedWorkers, inheritedCrashes: 0 },
        reason: "worker-crashes",
        text:
            "worker-crashes: task 0.0.0, workers w1 (replaced), w2 (replaced), w3 (replaced), " +
            "w4 (replaced)",
    },
];

const statusOf = ({ reason, failure }: FailureCase): object => ({
    state: "failed",
    ...(reason === undefined ? {} : { reason }),
    failure,
});

/** Asks the process that owns the cell as another process does. */
const askOwner = async ({ cell, cells, store }: FailedCell): Promise<unknown> => {
    const { clock, log } = cell;
    const peers = PeerClient.create();
    const explainer = PlacementExplainer.create({
        cells,
        peers,
        clock,
        decodeSubmission: () => Err("no job"),
        maxBodyBytes: () => 1_000,
    });
    const writer = JobWriter.create(store, clock);
    const epochs = EpochReporter.create(cells, store);
    const server = createPeerServer(cells, writer, epochs, explainer, PauseDetector.create(clock), log);
    const status = await peers.jobStatus(await server.listen("127.0.0.1:0"), 0, id);
    peers.close();
    await server.close();
    return status;
};

/** Asks a process that reaches the store, and no owner. */
const askStore = ({ cell, store }: FailedCell, progress: string): Promise<unknown> => {
    const cells = CellDirectory.create();
    const noOwner: Pick<CellCandidate, "owner" | "ownerRecord"> = {
        owner: undefined,
        ownerRecord: undefined,
    };
    cells.set([noOwner as CellCandidate]);
    store.items = [
        { key: cellKeys.job(0, id), value: jobCodec.encodeJob(oneTaskJob), revision: 1 },
        { key: cellKeys.progress(0, id), value: progress, revision: 1 },
    ];
    const writer = JobWriter.create(store, cell.clock);
    return JobGateway.create(cells, store, writer, PeerClient.create(), cell.clock, cell.log).status(id);
};

// Guards against an operator who sees a job as failed and finds in no line why.
t.test("the line and the metric of a failed job say what ended it", async t => {
    for (const { create, text, failure, reason } of cases) {
        const failed = create();
        await failed.write();
        t.match(failed.cell.lines("job-ended"), [{ job: id, state: "failed", reason, cause: text }]);
        t.match(
            await failed.cell.metrics.text(),
            new RegExp(`samphireward_jobs_failed_total\\{cause="${failure.cause}"\\} 1`),
        );
    }
});

// Guards against a process that answers "failed" and does not know why, because the owner or the store tells it the state
// alone.
t.test(
    "the owner, the store and the next owner say what ended a failed job, once that is durable",
    async t => {
        for (const failureCase of cases) {
            const failed = failureCase.create();
            const status = statusOf(failureCase);
            t.strictSame(await askOwner(failed), Ok({ state: "running" }), "not durable");
            const progress = await failed.write();
            t.strictSame(await askOwner(failed), Ok(status), "owner");
            t.strictSame(await askStore(failed, progress), Ok(status), "store");
            const next = ReportedCell.create(2);
            next.scheduler.inheritJob(oneTaskJob, jobCodec.decodeProgress(progress));
            t.strictSame(next.scheduler.jobs.get(id)?.status, status, "next owner");
        }
    },
);

// Guards against an owner's answer that makes the process which asks fail: the failure has another form.
t.test("a failure of another form is left out of the answer of an owner", t => {
    const [first] = cases;
    t.strictSame(jobCodec.decodeFailure(first?.failure), first?.failure);
    for (const value of [undefined, "attempts", {}, { cause: "attempts" }, { cause: 1, task: "0.0.0" }]) {
        t.equal(jobCodec.decodeFailure(value), undefined);
    }
    const crashes = { cause: "worker-crashes", task: "0.0.0" };
    for (const workers of ["w1/1", [5], [{ worker: "w1/1" }]]) {
        t.equal(jobCodec.decodeFailure({ ...crashes, crashedWorkers: workers }), undefined);
    }
    t.end();
});

// Guards against a failed job that is set aside as unreadable, because an earlier build stored it without what ended it, or
// a later one with a cause that this build does not know.
t.test("progress without a failure, or with an unknown cause, is decoded", t => {
    const ended = { endState: "failed", endedAtMs: 9, hasStarted: true, nextOccurrence: 1, open: [] };
    for (const failure of [undefined, { cause: "later", task: "0.0.0", detail: 5 }]) {
        const progress = { ...ended, ...(failure === undefined ? {} : { failure }) };
        t.strictSame(jobCodec.decodeProgress(JSON.stringify({ v: 1, progress })), progress);
    }
    t.equal(jobCodec.decodeProgress(JSON.stringify({ v: 1, progress: { ...ended, failure: 5 } })), undefined);
    t.end();
});

// Guards against a suspicion of which the log does not say why it is close to the end of a job, or far from it.
t.test("each line about a suspicion has the ages and the chance of the crashes", t => {
    const lines = FailedCell.createByCrashes().cell.lines("task-suspected");
    t.ok(lines.some(({ reason, points }) => reason === "proven" && points === 4));
    for (const { minAgeMs, maxAgeMs, chance } of lines) {
        t.ok(
            Number.isInteger(minAgeMs) && Number.isInteger(maxAgeMs),
            `${String(minAgeMs)} to ${String(maxAgeMs)}`,
        );
        t.ok(Number(chance) > 0 && Number(chance) <= 1, String(chance));
    }
    t.end();
});
