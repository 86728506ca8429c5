import { ManualClock } from "@samphireward/core/manual-clock";
import { Resources } from "@samphireward/core/resources";
import { CellScheduler } from "@samphireward/jobs/cell-scheduler";
import { cellLimits } from "@samphireward/jobs/fixtures/cell-limits";
import { queueRule } from "@samphireward/jobs/fixtures/queue-rule";
import { maxLeaseDurationMs } from "@samphireward/jobs/max-lease-duration-ms";
import { OrderKind } from "@samphireward/jobs/order-kind";
import { StopReason } from "@samphireward/jobs/stop-reason";
import type { WorkerIncarnation } from "@samphireward/jobs/worker-incarnation";
import type { WorkerListing } from "@samphireward/jobs/worker-listing";
import { Err, Ok } from "ts-results-es";
import t from "tap";
import { HeartbeatPause } from "../src/heartbeat-pause.js";
import { Metrics } from "../src/metrics.js";
import { OrderFailure } from "../src/order-failure.js";
import { OwnershipProof } from "../src/ownership-proof.js";
import { StopLog } from "../src/stop-log.js";
import { WorkerLink } from "../src/worker-link.js";
import { certainOwnership } from "./certain-ownership.js";
import { ManualWorkerClient } from "./manual-worker-client.js";
import { NullLog } from "./null-log.js";
import { oneTaskJob } from "./one-task-job.js";
import { oneWorker } from "./one-worker.js";

const StartedAtMs = 200;

/** A cell with one worker and the link to it, whose first heartbeat is not answered yet. */
const createLink = (
    proof?: OwnershipProof,
): {
    readonly clock: ManualClock;
    readonly scheduler: CellScheduler;
    readonly worker: WorkerIncarnation;
    readonly client: ManualWorkerClient;
    readonly link: WorkerLink;
} => {
    const clock = ManualClock.create(1_000);
    const scheduler = CellScheduler.create(1, clock, cellLimits);
    scheduler.setQueues([queueRule("queue")]);
    const worker = scheduler.registerWorker({ ...oneWorker, startedAtMs: StartedAtMs });
    const client = ManualWorkerClient.create();
    const metrics = Metrics.create();
    const link = WorkerLink.create(worker, client, {
        scheduler,
        clock,
        log: NullLog.create(),
        stopLog: StopLog.create({ epoch: 1, clock, log: NullLog.create(), metrics }),
        metrics,
        fencingToken: 1,
        leaseMs: cellLimits.leaseMs,
        proof: proof ?? certainOwnership(clock),
        heartbeatPause: HeartbeatPause.create(),
        listener: { onChange: () => undefined, onFenced: () => undefined },
    });
    void link.run();
    return { clock, scheduler, worker, client, link };
};

const emptyListing: WorkerListing = { startedAtMs: StartedAtMs, running: [], ended: [], isPartial: false };

const nextHeartbeat = async (client: ManualWorkerClient): Promise<void> => {
    const count = client.heartbeats.length;
    while (client.heartbeats.length === count) {
        await new Promise(resolve => setTimeout(resolve, 5));
    }
};

// Guards against a second run of a task beside one in the next incarnation of its worker, of which the owner has not learned:
// the deadline by the clock of the incarnation before is far ahead there, so that the lease lasts longer than was counted.
t.test("a start that another incarnation has answered counts the longest lease", async t => {
    const clockMs = 500_000;
    const cases: readonly [startClockMs: number, leaseMs: number][] = [
        [clockMs, cellLimits.leaseMs],
        [30, cellLimits.maxLeaseMs],
    ];
    for (const [startClockMs, leaseMs] of cases) {
        const { clock, scheduler, worker, client, link } = createLink();
        scheduler.expectNoInheritedWorkers();
        await client.answerHeartbeat(Ok({ listing: emptyListing, clockMs }));
        client.startClockMs = startClockMs;
        scheduler.addJob(oneTaskJob);
        const orders = scheduler.plan();
        const [order] = orders;
        t.equal(order?.kind, OrderKind.Start);
        if (order?.kind === OrderKind.Start) {
            await link.start(order.run);
        }
        scheduler.noteUnreachable(worker);
        clock.advance(maxLeaseDurationMs(leaseMs) + cellLimits.stopMs);
        scheduler.plan();
        t.equal(worker.runs.size, 1, "the run may still be there");
        clock.advance(1);
        scheduler.plan();
        t.equal(worker.runs.size, 0, "its lease is over");
        link.close();
    }
});

// Guards against a lease that calls go on extending by the clock of an incarnation that is gone.
t.test("nothing is sent by the known clock once a start has shown another one", async t => {
    const { scheduler, client, link } = createLink();
    await client.answerHeartbeat(Ok({ listing: emptyListing, clockMs: 500_000 }));
    client.startClockMs = 30;
    scheduler.addJob({ ...oneTaskJob, steps: oneTaskJob.steps.map(step => ({ ...step, count: 2 })) });
    for (const order of scheduler.plan()) {
        if (order.kind === OrderKind.Start) {
            await link.start(order.run);
        }
    }
    t.equal(client.startDeadlinesMs.length, 1);
    await nextHeartbeat(client);
    t.equal(client.heartbeats.at(-1)?.deadlineMs, undefined);
    link.close();
});

// Guards against tasks that run twice, or that nobody starts again: a listing of an older incarnation neither ends the
// runs of the newer one nor shows that they go on.
t.test("a worker that lists an older incarnation counts as unreachable", async t => {
    const { clock, scheduler, worker, client, link } = createLink();
    await client.answerHeartbeat(Ok({ listing: emptyListing, clockMs: 0 }));
    scheduler.addJob(oneTaskJob);
    t.equal(scheduler.plan().length, 1);
    await nextHeartbeat(client);
    await client.answerHeartbeat(
        Ok({ listing: { ...emptyListing, startedAtMs: StartedAtMs - 1 }, clockMs: 0 }),
    );
    t.equal(scheduler.fleet.get(oneWorker.id), worker);
    t.equal(worker.runs.size, 1);
    await nextHeartbeat(client);
    t.equal(client.heartbeats.at(-1)?.deadlineMs, undefined, "its lease is not extended");
    clock.advance(cellLimits.maxLeaseMs + cellLimits.lateOrderMs + cellLimits.leaseMs);
    scheduler.plan();
    t.equal(worker.runs.size, 0, "its lease is over");
    link.close();
});

// Guards against a task that runs twice: a worker that was cut off for longer than its lease would carry out a start that
// was given up, once a heartbeat extends the lease.
t.test("heartbeats extend no lease until the start that was given up is stopped", async t => {
    const { clock, scheduler, worker, client, link } = createLink();
    await client.answerHeartbeat(Ok({ listing: emptyListing, clockMs: 0 }));
    scheduler.addJob(oneTaskJob);
    const [order] = scheduler.plan();
    t.equal(order?.kind, OrderKind.Start);
    await nextHeartbeat(client);
    await client.answerHeartbeat(Err(OrderFailure.Unknown));
    clock.advance(2 * cellLimits.maxLeaseMs);
    scheduler.plan();
    t.equal(worker.runs.size, 0, "its lease is over");
    for (const deadlineMs of [undefined, undefined]) {
        await nextHeartbeat(client);
        t.equal(client.heartbeats.at(-1)?.deadlineMs, deadlineMs);
        await client.answerHeartbeat(Ok({ listing: emptyListing, clockMs: 0 }));
    }
    if (order?.kind === OrderKind.Start) {
        await link.stop(order.run.task.name, order.run.number, StopReason.LateStart);
    }
    await nextHeartbeat(client);
    t.equal(client.heartbeats.at(-1)?.deadlineMs, cellLimits.leaseMs);
    link.close();
});

// Guards against starts by the capacity of the earlier incarnation: a worker may start again with less, and its heartbeat
// shows the restart before its registration is read.
t.test("nothing starts on a restarted worker before its registration is read", async t => {
    const { scheduler, client, link } = createLink();
    const listing = { ...emptyListing, startedAtMs: StartedAtMs + 1 };
    await client.answerHeartbeat(Ok({ listing, clockMs: 0 }));
    const next = scheduler.fleet.get(oneWorker.id);
    t.ok(next);
    if (next !== undefined) {
        scheduler.noteListing(next, listing, 0);
        scheduler.addJob(oneTaskJob);
        t.strictSame(scheduler.plan(), []);
        const capacity = Resources.create({ processors: 1, memoryMb: 1_000 });
        scheduler.registerWorker({ ...oneWorker, startedAtMs: StartedAtMs + 1, capacity });
        t.equal(scheduler.plan().length, 1);
    }
    link.close();
});

// Guards against a start after an end that was forgotten unread: after a restart the numbers of ends begin anew, and the
// first heartbeat still carried the highest number of the previous incarnation.
t.test("a heartbeat to an unreachable worker acknowledges no ends", async t => {
    const { worker, client, link } = createLink();
    await client.answerHeartbeat(Ok({ listing: emptyListing, clockMs: 0 }));
    worker.lastDurableEndSequence = 5;
    await nextHeartbeat(client);
    t.equal(client.heartbeats.at(-1)?.lastDurableEndSequence, 5);
    await client.answerHeartbeat(Err(OrderFailure.Unknown));
    await nextHeartbeat(client);
    t.equal(client.heartbeats.at(-1)?.lastDurableEndSequence, 0);
    await client.answerHeartbeat(Ok({ listing: emptyListing, clockMs: 0 }));
    await nextHeartbeat(client);
    t.equal(client.heartbeats.at(-1)?.lastDurableEndSequence, 5);
    link.close();
});

// Guards against a lease that outlasts what the owner counts: the owner was suspended for a minute, in which the worker's
// slow clock fell 1.2 s behind the reading by which deadlines are set.
t.test("no lease is extended by a reading of the worker's clock that is older than a lease", async t => {
    const { clock, scheduler, worker, client, link } = createLink();
    await client.answerHeartbeat(Ok({ listing: emptyListing, clockMs: 0 }));
    scheduler.addJob(oneTaskJob);
    const [order] = scheduler.plan();
    clock.advance(60_000);
    if (order?.kind === OrderKind.Start) {
        await link.start(order.run);
    }
    t.same(client.startDeadlinesMs, []);
    t.equal(worker.runs.size, 0, "the start counts as refused");
    await nextHeartbeat(client);
    t.equal(client.heartbeats.at(-1)?.deadlineMs, undefined);
    await client.answerHeartbeat(Ok({ listing: emptyListing, clockMs: 58_800 }));
    await nextHeartbeat(client);
    t.equal(client.heartbeats.at(-1)?.deadlineMs, 58_800 + cellLimits.leaseMs);
    link.close();
});

// Guards against a previous owner that extends a lease beyond the time for which the next owner waits: it counts leases
// from its claim, so none may begin later than the last proof that there was no claim.
t.test("a lease begins when the owner last knew that there was no other", async t => {
    const proof = OwnershipProof.create(1_000);
    const { clock, client, link } = createLink(proof);
    const clockMs = 50_000;
    await client.answerHeartbeat(Ok({ listing: emptyListing, clockMs }));
    clock.advance(2_000);
    await client.answerHeartbeat(Ok({ listing: emptyListing, clockMs: clockMs + 2_000 }));
    await nextHeartbeat(client);
    t.equal(client.heartbeats.at(-1)?.deadlineMs, clockMs + cellLimits.leaseMs);
    clock.advance(1_000);
    await client.answerHeartbeat(Ok({ listing: emptyListing, clockMs: clockMs + 3_000 }));
    await nextHeartbeat(client);
    t.equal(client.heartbeats.at(-1)?.deadlineMs, undefined, "the proof is too old");
    proof.note(4_000);
    await client.answerHeartbeat(Ok({ listing: emptyListing, clockMs: clockMs + 3_000 }));
    await nextHeartbeat(client);
    t.equal(client.heartbeats.at(-1)?.deadlineMs, clockMs + 3_000 + cellLimits.leaseMs);
    link.close();
});
