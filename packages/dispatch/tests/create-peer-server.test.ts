import { JsonClient } from "@samphireward/core/json-client";
import { ManualClock } from "@samphireward/core/manual-clock";
import { PauseDetector } from "@samphireward/core/pause-detector";
import t from "tap";
import { Err } from "ts-results-es";
import type { CellCandidate } from "../src/cell-candidate.js";
import { CellDirectory } from "../src/cell-directory.js";
import { createPeerServer } from "../src/create-peer-server.js";
import { EpochReporter } from "../src/epoch-reporter.js";
import { jobCodec } from "../src/job-codec.js";
import { JobWriter } from "../src/job-writer.js";
import { PeerClient } from "../src/peer-client.js";
import { PlacementExplainer } from "../src/placement-explainer.js";
import { ManualStore } from "./manual-store.js";
import { oneTaskJob } from "./one-task-job.js";
import { RecordingLog } from "./recording-log.js";

const { id } = oneTaskJob;
const text = jobCodec.encodeJob(oneTaskJob);
const timeoutMs = 5_000;

/** A cell whose owner fails with an error that no caller expects. */
const faultyCell = {
    get owner(): never {
        throw new TypeError("unexpected");
    },
};

const invalid: [path: string, body: unknown][] = [
    [`/cells/0/jobs/${id}/accept`, undefined],
    [`/cells/0/jobs/${id}/accept`, []],
    [`/cells/0/jobs/${id}/accept`, { text: 5 }],
    [`/cells/0/jobs/${id}/accept`, { text: "{" }],
    [`/cells/0/jobs/00000000000000bb/accept`, { text }],
    [`/cells/x/jobs/${id}/accept`, { text }],
    [`/cells/1/jobs/${id}/accept`, { text }],
    [`/cells/0/jobs/${id}/estimate`, undefined],
    [`/cells/0/jobs/${id}/estimate`, { text: "{" }],
    [`/cells/1/jobs/${id}/estimate`, { text }],
    [`/cells/0/jobs/${id}/estimate`, { text: jobCodec.encodeJob({ ...oneTaskJob, steps: [] }) }],
];

// Guards against a call that stores a value which no owner can read, or under a key of no cell, and against an
// unexpected error of a call that leaves no trace.
t.test("calls of other processes are checked, and their unexpected errors logged", async t => {
    const cells = CellDirectory.create();
    cells.set([faultyCell as unknown as CellCandidate]);
    const store = ManualStore.create();
    const log = RecordingLog.create();
    const writer = JobWriter.create(store, ManualClock.create(1_000));
    const explainer = PlacementExplainer.create({
        cells,
        peers: PeerClient.create(),
        clock: ManualClock.create(1_000),
        decodeSubmission: () => Err("no job"),
        maxBodyBytes: () => 1_000,
    });
    const server = createPeerServer(
        cells,
        writer,
        EpochReporter.create(cells, store),
        explainer,
        PauseDetector.create(ManualClock.create(1_000)),
        log,
    );
    const client = JsonClient.create(await server.listen("127.0.0.1:0"));
    for (const [path, body] of invalid) {
        const call = client.call("POST", path, { body, timeoutMs });
        const stored = new Promise(resolve => setTimeout(() => resolve("stored"), 200));
        const response = await Promise.race([call, stored]);
        t.match(response, { status: 400 }, `${path} ${JSON.stringify(body)}`);
    }
    t.same(store.transactions, []);
    t.same(log.lines, []);
    t.match(await client.call("GET", `/cells/0/jobs/${id}`, { timeoutMs }), { status: 500 });
    t.match(log.lines, [{ event: "peer-request-failed", path: `/cells/0/jobs/${id}`, reason: /TypeError/ }]);
    const accepted = client.call("POST", `/cells/0/jobs/${id}/accept`, { body: { text }, timeoutMs });
    while (store.transactions.length === 0) {
        await new Promise(resolve => setTimeout(resolve, 5));
    }
    await store.answerNext();
    t.match(await accepted, { status: 200, body: { outcome: "accepted" } });
    client.close();
    await server.close();
});
