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
import { rosterCodec } from "../src/roster-codec.js";
import type { StartResponse } from "../src/start-response.js";
import { WorkerClient } from "../src/worker-client.js";
import type { WorkerClientFactory } from "../src/worker-client-factory.js";
import { cellLimits } from "@samphireward/jobs/fixtures/cell-limits";
import { certainOwnership } from "./certain-ownership.js";
import { ManualStore } from "./manual-store.js";
import { NullLog } from "./null-log.js";
import { NoPermits } from "./no-permits.js";
import { oneTaskJob } from "./one-task-job.js";
import { oneWorker } from "./one-worker.js";
import { queueRule } from "@samphireward/jobs/fixtures/queue-rule";

/** The client of a worker that sends one empty listing, confirms no order and counts the starts. */
class SilentWorkerClient extends WorkerClient {
    starts = 0;
    private hasListed = false;

    static create(this: void): SilentWorkerClient {
        return new SilentWorkerClient();
    }

    override start(): Promise<StartResponse> {
        this.starts += 1;
        return Promise.resolve({ outcome: StartOutcome.Unknown });
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

const MaxTicks = 100;

/** Waits until all workers have listed their runs, without yielding to the timer of the next plan. */
const untilListed = async (owner: CellOwner): Promise<void> => {
    const hasListed = (): boolean => [...owner.scheduler.fleet.workers].every(worker => worker.hasListedRuns);
    for (let tick = 0; tick < MaxTicks && !hasListed(); tick++) {
        await Promise.resolve();
    }
};

/** Long enough for several plans. */
const SeveralPlansMs = 250;

const createOwner = (
    store: ManualStore,
    clock: ManualClock,
    createWorkerClient: WorkerClientFactory,
    onLost: (reason: string) => void = () => undefined,
): CellOwner =>
    CellOwner.create({
        cell: 0,
        cellCount: () => 1,
        epoch: 1,
        store,
        commits: CommitLog.create(store, 0, { epoch: 1, sequence: 0 }, 1, new AbortController().signal),
        createWorkerClient,
        proof: certainOwnership(clock),
        permits: NoPermits.create(),
        clock,
        log: NullLog.create(),
        metrics: Metrics.create(),
        limits: cellLimits,
        onLost,
    });

// Guards against a queue whose jobs never start because its rule arrived while the owner read the cell's state.
t.test("rules that change while an owner starts are in force once it has started", async t => {
    const store = ManualStore.create();
    const clock = ManualClock.create(1_000);
    const owner = createOwner(store, clock, SilentWorkerClient.create);
    let rules = [queueRule("old")];
    let resolveWorkers: (entries: WorkerEntry[]) => void = () => undefined;
    const started = owner.start(
        () => rules,
        () => new Promise(resolve => (resolveWorkers = resolve)),
    );
    rules = [queueRule("old"), queueRule("new")];
    resolveWorkers([oneWorker]);
    await started;
    await untilListed(owner);
    owner.jobAccepted(jobCodec.encodeJob({ ...oneTaskJob, queue: "new" }));
    t.equal(owner.scheduler.plan().filter(order => order.kind === OrderKind.Start).length, 1);
    owner.halt();
});

// Guards against an order to a worker that the next owner would neither know nor wait for.
t.test("a worker gets no order before the roster that lists it is durable", async t => {
    const store = ManualStore.create();
    const clock = ManualClock.create(1_000);
    const client = SilentWorkerClient.create();
    const owner = createOwner(store, clock, () => client);
    await owner.start(
        () => [queueRule("queue")],
        () => Promise.resolve([oneWorker]),
    );
    owner.jobAccepted(jobCodec.encodeJob({ ...oneTaskJob, queue: "queue" }));
    await setTimeout(SeveralPlansMs);
    t.equal(client.starts, 0, "the roster is not written yet");
    for (let commits = 0; commits < 3 && !store.isNextWriteUnder("cells/0/roster"); commits += 1) {
        await store.answerNext();
    }
    await store.answerNext();
    await setTimeout(SeveralPlansMs);
    t.equal(client.starts, 1, "the roster is durable");
    owner.halt();
});

// Guards against an unresponsive store that stops the work of all workers when a new one registers.
t.test("workers that the roster lists get orders while a new one is not listed yet", async t => {
    const store = ManualStore.create();
    const clock = ManualClock.create(1_000);
    const clients = new Map<string, SilentWorkerClient>();
    const owner = createOwner(store, clock, ({ id }) => {
        const client = SilentWorkerClient.create();
        clients.set(id, client);
        return client;
    });
    const roster = rosterCodec.encode({
        lives: ["w1/1"],
        leaseMs: 0,
        leasesMs: undefined,
        epoch: undefined,
    });
    store.items = [{ key: "cells/0/roster", value: roster, revision: 1 }];
    await owner.start(
        () => [queueRule("queue")],
        () => Promise.resolve([oneWorker, { ...oneWorker, id: "w2" }]),
    );
    owner.jobAccepted(jobCodec.encodeJob({ ...oneTaskJob, queue: "queue" }));
    await setTimeout(SeveralPlansMs);
    t.strictSame(
        [...clients].map(([id, { starts }]) => [id, starts]),
        [
            ["w1", 1],
            ["w2", 0],
        ],
    );
    owner.halt();
});

// Guards against workers whose leases expire during a planned stop: nobody extends them while the final roster is written,
// and the store may not answer.
t.test("a planned stop does not wait for a store that leaves the final roster unanswered", async t => {
    const store = ManualStore.create();
    const owner = createOwner(store, ManualClock.create(1_000), SilentWorkerClient.create);
    const roster = { lives: ["lost/1"], leaseMs: cellLimits.leaseMs, leasesMs: new Map(), epoch: 0 };
    store.items = [{ key: "cells/0/roster", value: rosterCodec.encode(roster), revision: 1 }];
    await owner.start(
        () => [queueRule("queue")],
        () => Promise.resolve([]),
    );
    const stopped = owner.stop();
    await setTimeout(1);
    while (store.transactions.length > 0 && !store.isNextWriteUnder("cells/0/roster")) {
        await store.answerNext();
    }
    await stopped;
    t.ok(store.isNextWriteUnder("cells/0/roster"), "it is not answered yet");
});

/** A store whose watches end with an error that no caller expects. */
class FaultyStore extends ManualStore {
    static override create(): FaultyStore {
        return new FaultyStore();
    }

    override watch(): Promise<never> {
        return Promise.reject(new TypeError("unexpected"));
    }
}

// Guards against an owner that keeps a cell but has stopped to read its jobs, because a loop ended with an error.
t.test("an owner whose loop fails unexpectedly gives the cell up", async t => {
    const reasons: string[] = [];
    const clock = ManualClock.create(1_000);
    const owner = createOwner(FaultyStore.create(), clock, SilentWorkerClient.create, reason =>
        reasons.push(reason),
    );
    await owner.start(
        () => [queueRule("queue")],
        () => Promise.resolve([oneWorker]),
    );
    await setTimeout(SeveralPlansMs);
    t.strictSame(reasons, ["inputs failed unexpectedly"]);
    owner.halt();
});

// Guards against a process that ends, with all the callers that it serves, because a plan of one cell throws.
t.test("an owner whose plan fails unexpectedly gives the cell up", async t => {
    const reasons: string[] = [];
    const clock = ManualClock.create(1_000);
    const owner = createOwner(ManualStore.create(), clock, SilentWorkerClient.create, reason => {
        reasons.push(reason);
        owner.halt();
    });
    owner.scheduler.plan = (): never => {
        throw new TypeError("unexpected");
    };
    await owner.start(
        () => [queueRule("queue")],
        () => Promise.resolve([oneWorker]),
    );
    await setTimeout(SeveralPlansMs);
    t.strictSame(reasons, ["plan failed unexpectedly"]);
});
