import { setTimeout } from "node:timers/promises";
import { ManualClock } from "@samphireward/core/manual-clock";
import { cellLimits } from "@samphireward/jobs/fixtures/cell-limits";
import { queueRule } from "@samphireward/jobs/fixtures/queue-rule";
import type { ListedEnd } from "@samphireward/jobs/listed-end";
import type { Run } from "@samphireward/jobs/run";
import { StartOutcome } from "@samphireward/jobs/start-outcome";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import t from "tap";
import { CellOwner } from "../src/cell-owner.js";
import { CommitLog } from "../src/commit-log.js";
import type { HeartbeatResponse } from "../src/heartbeat-response.js";
import { jobCodec } from "../src/job-codec.js";
import { Metrics } from "../src/metrics.js";
import { OrderFailure } from "../src/order-failure.js";
import type { StartResponse } from "../src/start-response.js";
import { WorkerClient } from "../src/worker-client.js";
import { certainOwnership } from "./certain-ownership.js";
import { ManualStore } from "./manual-store.js";
import { NoPermits } from "./no-permits.js";
import { oneTaskJob } from "./one-task-job.js";
import { oneWorker } from "./one-worker.js";
import { RecordingLog } from "./recording-log.js";

const task = `${oneTaskJob.id}.0.0.0`;
const PollMs = 10;
/** Number of polls after which a condition is taken to be missed. */
const MaxPolls = 500;
/** Together longer than the longest lease by the owner's clock, and the time to stop. */
const LeaseSteps = 7;
const LeaseStepMs = 1_000;
/** Time for a heartbeat, by the clock of the machine. */
const HeartbeatMs = 150;

/** The client of a worker that carries out one run, and that the test can cut off. */
class CutOffClient extends WorkerClient {
    isCutOff = false;
    private run: number | undefined;
    private readonly ended: ListedEnd[] = [];

    static create(this: void): CutOffClient {
        return new CutOffClient();
    }

    finishRun(): void {
        if (this.run !== undefined) {
            this.ended.push({ sequence: 1, task, number: this.run, kind: "done", checkpoint: "" });
            this.run = undefined;
        }
    }

    override start(run: Run): Promise<StartResponse> {
        this.run = run.number;
        return Promise.resolve({ outcome: StartOutcome.Started });
    }

    override stop(): Promise<Result<void, OrderFailure>> {
        return Promise.resolve(Err(OrderFailure.Unknown));
    }

    override pace(): Promise<Result<void, OrderFailure>> {
        return Promise.resolve(Err(OrderFailure.Unknown));
    }

    override heartbeat(): Promise<Result<HeartbeatResponse, OrderFailure>> {
        if (this.isCutOff) {
            return Promise.resolve(Err(OrderFailure.Unknown));
        }
        const running =
            this.run === undefined
                ? []
                : [{ task, number: this.run, checkpoint: "", progressPercent: 50, gauge: 0 }];
        const listing = { startedAtMs: 1, running, ended: [...this.ended], isPartial: false };
        return Promise.resolve(Ok({ listing, clockMs: 0 }));
    }

    override close(): void {
        return;
    }
}

// Guards against logs that do not tell why a run was given up, or that it had been done, when its task ran twice.
t.test("the lines with a task's name tell why it ran twice", async t => {
    const store = ManualStore.create();
    const clock = ManualClock.create(1_000);
    const log = RecordingLog.create();
    const clients = new Map([
        ["w1", CutOffClient.create()],
        ["w2", CutOffClient.create()],
    ]);
    const owner = CellOwner.create({
        cell: 0,
        cellCount: () => 1,
        epoch: 1,
        store,
        commits: CommitLog.create(store, 0, { epoch: 1, sequence: 0 }, 1, new AbortController().signal),
        createWorkerClient: ({ id }) => clients.get(id) ?? CutOffClient.create(),
        permits: NoPermits.create(),
        proof: certainOwnership(clock),
        clock,
        log,
        metrics: Metrics.create(),
        limits: cellLimits,
        onLost: () => undefined,
    });
    const taskLines = (): typeof log.lines => log.lines.filter(line => line["task"] === task);
    const until = async (what: string, isMet: () => boolean): Promise<void> => {
        for (let poll = 0; poll < MaxPolls && !isMet(); poll++) {
            await store.answerNext();
            await setTimeout(PollMs);
        }
        t.ok(isMet(), what);
    };
    await owner.start(
        () => [queueRule(oneTaskJob.queue)],
        () => Promise.resolve([oneWorker, { ...oneWorker, id: "w2" }]),
    );
    owner.jobAccepted(jobCodec.encodeJob(oneTaskJob));
    await until("the task starts", () => taskLines().length === 1);
    const firstId = String(taskLines()[0]?.["worker"]);
    const secondId = firstId === "w1" ? "w2" : "w1";
    const first = clients.get(firstId);
    t.ok(first);
    if (first !== undefined) {
        first.isCutOff = true;
        first.finishRun();
        await until("its worker is silent", () =>
            log.lines.some(line => line["event"] === "worker-unreachable"),
        );
        for (let step = 0; step < LeaseSteps; step++) {
            clock.advance(LeaseStepMs);
            // The other worker's clock has to be read again, or it gets no deadlines.
            await setTimeout(HeartbeatMs);
        }
        await until("it starts again", () => taskLines().length === 4);
        clients.get(secondId)?.finishRun();
        await until("it is done", () => taskLines().length === 5);
        first.isCutOff = false;
        await until("the first end arrives", () => taskLines().length === 6);
    }
    owner.halt();
    t.match(taskLines(), [
        { event: "start", run: 1, worker: firstId, outcome: "started" },
        { event: "task-suspected", worker: firstId, reason: "shared", points: 1 },
        { event: "end", run: 1, worker: firstId, how: "lapsed", reason: "lease-over" },
        { event: "start", run: 2, worker: secondId, outcome: "started" },
        { event: "end", run: 2, worker: secondId, how: "done", reason: "listed" },
        { event: "end-ignored", run: 1, worker: firstId, how: "done", reason: "task-done" },
    ]);
});
