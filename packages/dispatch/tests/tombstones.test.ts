import { ManualClock } from "@samphireward/core/manual-clock";
import { PauseDetector } from "@samphireward/core/pause-detector";
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
import { readCellState } from "../src/read-cell-state.js";
import { SubmitOutcome } from "../src/submit-outcome.js";
import { TombstoneCleaner } from "../src/tombstone-cleaner.js";
import { tombstoneLimits } from "../src/tombstone-limits.js";
import { NullLog } from "./null-log.js";
import { oneTaskJob } from "./one-task-job.js";
import { RecordingLog } from "./recording-log.js";
import { TransactionStore } from "./transaction-store.js";

const { id } = oneTaskJob;
const key = cellKeys.job(0, id);
const jobText = jobCodec.encodeJob(oneTaskJob);
const scheduledJob = { ...oneTaskJob, schedule: { occurrences: 9, firstAtMs: 5_000, intervalMs: 1_000 } };
const NowMs = 1_000_000;
/** So short that a write is not retried. */
const BudgetMs = 50;

/** A process that shares the store with others and knows the address of the cell's owner, if one is given. */
const createProcess = (
    store: TransactionStore,
    clock = ManualClock.create(NowMs),
    ownerAddress?: string,
): JobGateway => {
    const cells = CellDirectory.create();
    const ownerRecord =
        ownerAddress === undefined ? undefined : { node: "n", life: "l", address: ownerAddress, epoch: 1 };
    const candidate: Pick<CellCandidate, "owner" | "ownerRecord"> = { owner: undefined, ownerRecord };
    cells.set([candidate as CellCandidate]);
    const writer = JobWriter.create(store, clock);
    return JobGateway.create(cells, store, writer, PeerClient.create(), clock, NullLog.create());
};

const cancel = (gateway: JobGateway, job = id): ReturnType<JobGateway["cancel"]> =>
    gateway.cancel(job, NowMs + BudgetMs);
const submit = (gateway: JobGateway, spec = oneTaskJob): Promise<SubmitOutcome> =>
    gateway.submit(spec, NowMs + BudgetMs);

// Guards against tasks that run although the caller was told that there is no such job: its submission was on its way.
t.test("a submission that arrives after the cancellation is not accepted", async t => {
    for (const spec of [oneTaskJob, scheduledJob]) {
        const store = TransactionStore.create();
        const [first, second, restarted] = [createProcess(store), createProcess(store), createProcess(store)];
        t.strictSame(await cancel(first), Ok(false));
        for (const gateway of [second, first, restarted, second]) {
            t.equal(await submit(gateway, spec), SubmitOutcome.Cancelled);
            t.strictSame(await gateway.status(id), Ok(undefined), "no such job");
        }
        t.strictSame(await cancel(second), Ok(false), "cancelled again");
        t.equal(store.items.length, 1);
    }
});

// Guards against the same, if the store carries the write out after it has answered the cancellation.
t.test("a submission whose write is carried out late is not stored", async t => {
    const store = TransactionStore.create();
    const [first, second] = [createProcess(store), createProcess(store)];
    store.fate = "hold";
    t.equal(await submit(first), SubmitOutcome.Unknown);
    store.fate = "answer";
    t.strictSame(await cancel(second), Ok(false));
    store.applyHeld();
    t.strictSame(await first.status(id), Ok(undefined));
});

// Guards against a cancellation that is answered before anything keeps the submission out.
t.test("a cancellation is not answered unless its tombstone is durable", async t => {
    for (const fate of ["refuse", "hold"] as const) {
        const store = TransactionStore.create();
        store.fate = fate;
        t.match(await cancel(createProcess(store)), Err({ reason: /could not be stored/ }), fate);
        t.equal(store.transactions.length, 1);
    }
    const store = TransactionStore.create();
    store.fate = "lose-answer";
    const gateway = createProcess(store);
    t.match(await cancel(gateway), Err({ reason: /could not be stored/ }), "answer lost");
    store.fate = "answer";
    t.strictSame(await cancel(gateway), Ok(false), "repeated");
});

// Guards against a job that is stored between the look at the store and the tombstone, and is not cancelled.
t.test("a job that is stored meanwhile is cancelled", async t => {
    const store = TransactionStore.create();
    const gateway = createProcess(store);
    store.get = () => Promise.resolve(Ok(undefined));
    t.equal(await submit(createProcess(store)), SubmitOutcome.Accepted);
    t.strictSame(await cancel(gateway), Ok(true));
    t.same(
        store.items.map(item => [item.key, item.value]),
        [
            [key, jobText],
            [cellKeys.cancellation(0, id), "{}"],
        ],
    );
});

// Guards against an ordinary submission that needs the store more often because of the tombstones.
t.test("a submission is one transaction about one key", async t => {
    const store = TransactionStore.create();
    t.equal(await submit(createProcess(store)), SubmitOutcome.Accepted);
    t.same(store.transactions, [{ expected: [{ key, revision: 0 }], writes: [{ key, value: jobText }] }]);
});

// Guards against a write that a paused process sends long after its caller has given up.
t.test("a submission whose deadline has long passed is not written", async t => {
    const store = TransactionStore.create();
    const clock = ManualClock.create(NowMs + BudgetMs + 1_001);
    t.equal(await submit(createProcess(store, clock)), SubmitOutcome.NotAccepted);
    t.same(store.transactions, []);
});

// Guards against cancellations of unknown jobs that fill the store, or write to it without end.
t.test("a process stores a bounded number of tombstones", async t => {
    const { perProcess, retentionMs, cleanupIntervalMs } = tombstoneLimits;
    const store = TransactionStore.create();
    const clock = ManualClock.create(NowMs);
    const gateway = createProcess(store, clock);
    const idOf = (index: number): string => index.toString(16).padStart(16, "0");
    const cancelAt = (index: number): ReturnType<JobGateway["cancel"]> =>
        gateway.cancel(idOf(index), clock.nowMs() + BudgetMs);
    for (let index = 0; index < perProcess; index++) {
        t.strictSame(await cancelAt(index), Ok(false));
        clock.advance(1);
    }
    const commits = store.transactions.length;
    t.strictSame(await cancelAt(0), Ok(false), "a repeated one");
    t.equal(store.transactions.length, commits, "it is not written again at once");
    const retryMs = retentionMs + cleanupIntervalMs - perProcess;
    t.match(await cancelAt(perProcess), Err({ reason: /too many/, retryMs }), "a further one");
    t.equal(store.items.length, perProcess);
    t.ok(store.items.every(item => item.key.length + item.value.length < 100));
    clock.advance(retryMs - 1);
    t.match(await cancelAt(perProcess), Err({ retryMs: 1 }));
    clock.advance(1);
    t.strictSame(await cancelAt(perProcess), Ok(false), "once the oldest has been removed");
});

// Guards against jobs that are stored, whose cancellation is not refused because many unknown ones were cancelled.
t.test("a stored job is cancelled when no tombstone may be written", async t => {
    const store = TransactionStore.create();
    const gateway = createProcess(store);
    for (let index = 0; index <= tombstoneLimits.perProcess; index++) {
        await cancel(gateway, index.toString(16).padStart(16, "0"));
    }
    t.equal(await submit(gateway), SubmitOutcome.Accepted);
    t.strictSame(await cancel(gateway), Ok(true));
});

// Guards against tombstones that stay for good, and against one that is removed while a submission may be on its way.
t.test("the owner removes a tombstone when its time is over", async t => {
    const { retentionMs } = tombstoneLimits;
    const store = TransactionStore.create();
    const clock = ManualClock.create(NowMs);
    const cleaner = TombstoneCleaner.create({ cell: 0, store, clock, log: NullLog.create() });
    const readAll = async (): Promise<void> => {
        const state = await readCellState(store, 0, NullLog.create(), new AbortController().signal);
        state?.tombstones.forEach(tombstone => cleaner.add(tombstone));
    };
    const ids = Array.from({ length: 40 }, (_, index) => index.toString(16).padStart(16, "0"));
    for (const each of ids) {
        await cancel(createProcess(store, clock), each);
    }
    await readAll();
    clock.advance(retentionMs);
    await cleaner.removeExpired();
    t.equal(store.items.length, 40, "not yet");
    const [rewritten = ""] = ids;
    await createProcess(store, clock).cancel(rewritten, clock.nowMs() + BudgetMs);
    clock.advance(1);
    store.fate = "refuse";
    await cleaner.removeExpired();
    t.equal(cleaner.count, 40, "the store refuses");
    store.fate = "answer";
    await cleaner.removeExpired();
    await readAll();
    await cleaner.removeExpired();
    t.same(
        store.items.map(item => item.key),
        [cellKeys.job(0, rewritten)],
        "the one that was written again is left",
    );
    clock.advance(retentionMs);
    await cleaner.removeExpired();
    t.same(store.items, []);
    t.equal(cleaner.count, 0);
    t.equal(await submit(createProcess(store)), SubmitOutcome.Accepted, "the id can be used again");
});

// Guards against a tombstone with a time far ahead, from a clock that is wrong, which would stay for as long.
t.test("a tombstone with a time in the future counts from when it is read", async t => {
    const store = TransactionStore.create();
    const clock = ManualClock.create(NowMs);
    const cleaner = TombstoneCleaner.create({ cell: 0, store, clock, log: NullLog.create() });
    store.items = [{ key, value: jobCodec.encodeTombstone({ cancelledAtMs: 9e12 }), revision: 4 }];
    cleaner.add({ key, revision: 4, cancelledAtMs: 9e12 });
    clock.advance(tombstoneLimits.retentionMs + 1);
    await cleaner.removeExpired();
    t.same(store.items, []);
});

// Guards against a tombstone that a new owner reports as an unreadable job, or that makes it miss the jobs beside it.
t.test("a new owner reads tombstones beside jobs", async t => {
    const store = TransactionStore.create();
    const log = RecordingLog.create();
    const other = "00000000000000bb";
    await submit(createProcess(store));
    await cancel(createProcess(store), other);
    const state = await readCellState(store, 0, log, new AbortController().signal);
    t.same(
        state?.jobs.map(({ spec }) => spec.id),
        [id],
    );
    t.match(state?.tombstones, [{ key: cellKeys.job(0, other), revision: 3, cancelledAtMs: NowMs }]);
    t.equal(state?.setAside.size, 0);
    t.same(log.lines, []);
});

// Guards against a process without the store whose caller is told something else than those of other processes, and against
// a submission that waited at the owner while its process was stopped.
t.test("a submission through the owner meets the tombstone", async t => {
    const store = TransactionStore.create();
    const cutOff = TransactionStore.create();
    cutOff.fate = "refuse";
    const clock = ManualClock.create(NowMs);
    const cells = CellDirectory.create();
    cells.set([{ owner: undefined, ownerRecord: undefined } as CellCandidate]);
    const pauses = PauseDetector.create(clock);
    const server = createPeerServer(
        cells,
        JobWriter.create(store, clock),
        EpochReporter.create(cells, store),
        PlacementExplainer.create({
            cells,
            peers: PeerClient.create(),
            clock,
            decodeSubmission: () => Err("no job"),
            maxBodyBytes: () => 1_000,
        }),
        pauses,
        NullLog.create(),
    );
    const address = await server.listen("127.0.0.1:0");
    t.teardown(() => server.close());
    t.strictSame(await cancel(createProcess(store)), Ok(false));
    t.equal(await submit(createProcess(cutOff, undefined, address)), SubmitOutcome.Cancelled);
    const peers = PeerClient.create();
    t.teardown(() => peers.close());
    t.strictSame(await peers.accept(address, 0, id, jobText), Ok(SubmitOutcome.Cancelled));
    // The owner was stopped for longer than it writes on behalf of another process.
    pauses.earliestArrivalMs = () => NowMs - 2_001;
    const [job = oneTaskJob] = [{ ...oneTaskJob, id: "00000000000000cc" }];
    t.strictSame(
        await peers.accept(address, 0, job.id, jobCodec.encodeJob(job)),
        Ok(SubmitOutcome.NotAccepted),
    );
});
