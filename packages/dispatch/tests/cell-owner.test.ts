import { setTimeout } from "node:timers/promises";
import { ManualClock } from "@samphireward/core/manual-clock";
import { OrderKind } from "@samphireward/jobs/order-kind";
import { StartOutcome } from "@samphireward/jobs/start-outcome";
import type { WorkerEntry } from "@samphireward/jobs/worker-entry";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import t from "tap";
import { CellOwner } from "../src/cell-owner.js";
import { CommitLog } from "../src/commit-log.js";
import type { HeartbeatResponse } from "../src/heartbeat-response.js";
import { jobCodec } from "../src/job-codec.js";
import { Metrics } from "../src/metrics.js";
import { OrderFailure } from "../src/order-failure.js";
import { PermitSource } from "../src/permit-source.js";
import { rosterCodec } from "../src/roster-codec.js";
import { WorkerClient } from "../src/worker-client.js";
import type { WorkerClientFactory } from "../src/worker-client-factory.js";
import { cellLimits } from "@samphireward/jobs/fixtures/cell-limits";
import { ManualStore } from "./manual-store.js";
import { NullLog } from "./null-log.js";
import { oneTaskJob } from "./one-task-job.js";
import { oneWorker } from "./one-worker.js";
import { queueRule } from "@samphireward/jobs/fixtures/queue-rule";

/** A worker that lists nothing once, answers no order and counts the starts. */
class SilentWorkerClient extends WorkerClient {
    starts = 0;
    private hasListed = false;

    static create(this: void): SilentWorkerClient {
        return new SilentWorkerClient();
    }

    override start(): Promise<StartOutcome> {
        this.starts += 1;
        return Promise.resolve(StartOutcome.Unknown);
    }

    override stop(): Promise<Result<void, OrderFailure>> {
        return Promise.resolve(Err(OrderFailure.Unknown));
    }

    override pace(): Promise<Result<void, OrderFailure>> {
        return Promise.resolve(Err(OrderFailure.Unknown));
    }

    override heartbeat(): Promise<Result<HeartbeatResponse, OrderFailure>> {
        if (this.hasListed) {
            return new Promise(() => undefined);
        }
        this.hasListed = true;
        const listing = { startedAtMs: 1, running: [], ended: [], isPartial: false };
        return Promise.resolve(Ok({ listing, clockMs: 0 }));
    }

    override close(): void {
        return;
    }
}

/** A service that is never asked here. */
class NoPermits extends PermitSource {
    static create(): NoPermits {
        return new NoPermits();
    }

    override request(): Promise<undefined> {
        return Promise.resolve(undefined);
    }
}

/** Long enough for several plans. */
const SeveralPlansMs = 250;

const createOwner = (store: ManualStore, clock: ManualClock, createPort: WorkerClientFactory): CellOwner =>
    CellOwner.create({
        cell: 0,
        epoch: 1,
        store,
        commits: CommitLog.create(store, 0, { epoch: 1, sequence: 0 }, 1, new AbortController().signal),
        createWorkerClient: createPort,
        permits: NoPermits.create(),
        clock,
        log: NullLog.create(),
        metrics: Metrics.create(),
        limits: cellLimits,
        onLost: () => undefined,
    });

// Guards against a queue whose jobs never start: its configuration came while the owner read the cell's state.
t.test("rules that change while an owner begins are in force when it has begun", async t => {
    const store = ManualStore.create();
    const clock = ManualClock.create(1_000);
    const owner = createOwner(store, clock, SilentWorkerClient.create);
    let rules = [queueRule("old")];
    let giveEntries: (entries: WorkerEntry[]) => void = () => undefined;
    const begun = owner.start(
        () => rules,
        () => new Promise(resolve => (giveEntries = resolve)),
    );
    rules = [queueRule("old"), queueRule("new")];
    giveEntries([oneWorker]);
    await begun;
    owner.jobAccepted(jobCodec.encodeJob({ ...oneTaskJob, queue: "new" }));
    t.equal(owner.scheduler.plan().filter(order => order.kind === OrderKind.Start).length, 1);
    owner.halt();
});

// Guards against an order that reaches a worker which the next owner would not know of and not wait for.
t.test("a worker gets no order before the roster that names it is durable", async t => {
    const store = ManualStore.create();
    const clock = ManualClock.create(1_000);
    const port = SilentWorkerClient.create();
    const owner = createOwner(store, clock, () => port);
    await owner.start(
        () => [queueRule("queue")],
        () => Promise.resolve([oneWorker]),
    );
    owner.jobAccepted(jobCodec.encodeJob({ ...oneTaskJob, queue: "queue" }));
    await setTimeout(SeveralPlansMs);
    t.equal(port.starts, 0, "the roster is not written yet");
    for (let commits = 0; commits < 3 && !store.isNextWriteUnder("cells/0/roster"); commits += 1) {
        await store.answerNext();
    }
    await store.answerNext();
    await setTimeout(SeveralPlansMs);
    t.equal(port.starts, 1, "the roster is durable");
    owner.halt();
});

// Guards against a store that gives no answer and so stops the work of all workers, because one more came.
t.test("workers that the roster names get orders while a new one is not named yet", async t => {
    const store = ManualStore.create();
    const clock = ManualClock.create(1_000);
    const ports = new Map<string, SilentWorkerClient>();
    const owner = createOwner(store, clock, ({ id }) => {
        const port = SilentWorkerClient.create();
        ports.set(id, port);
        return port;
    });
    const roster = rosterCodec.encode({ lives: ["w1/1"], leaseMs: 0 });
    store.items = [{ key: "cells/0/roster", value: roster, revision: 1 }];
    await owner.start(
        () => [queueRule("queue")],
        () => Promise.resolve([oneWorker, { ...oneWorker, id: "w2" }]),
    );
    owner.jobAccepted(jobCodec.encodeJob({ ...oneTaskJob, queue: "queue" }));
    await setTimeout(SeveralPlansMs);
    t.strictSame(
        [...ports].map(([id, { starts }]) => [id, starts]),
        [
            ["w1", 1],
            ["w2", 0],
        ],
    );
    owner.halt();
});
