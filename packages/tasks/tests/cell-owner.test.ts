import { Resources } from "@samphireward/core/resources";
import { ResultCode } from "@samphireward/core/result-code";
import t from "tap";
import type { CellOwner } from "../src/cell-owner.js";
import { SimWorkerClient } from "./faults/sim-worker-client.js";
import { Simulation } from "./faults/simulation.js";

/** A cell with an owner and four idle workers of 4 processors, 8,000 MB and 1 accelerator. */
const createCell = async (): Promise<{ sim: Simulation; owner: CellOwner }> => {
    const sim = Simulation.create(1);
    await sim.run(5000);
    const owner = sim.current?.owner;
    if (owner === undefined) {
        throw new Error("the cell has no owner");
    }
    return { sim, owner };
};

const spec = (key: string, runMs: number, processors = 1, fail = false) => ({
    key,
    pool: "cutting",
    resources: Resources.create({ processors, memoryMb: 100 }),
    expectedRunMs: runMs,
    payload: JSON.stringify(fail ? { runMs, fail } : { runMs }),
});

// Guards against a repeated submission that runs the task twice or gets no answer.
t.test("a task is accepted once for each key", async t => {
    const { sim, owner } = await createCell();
    const answers = Promise.all([owner.accept(spec("k", 500)), owner.accept(spec("k", 500))]);
    await sim.run(2000);
    const codes = (await answers).map(answer => (answer.isOk() ? answer.value.code : answer.error.code));
    t.strictSame(codes, [ResultCode.TaskAccepted, ResultCode.TaskAlreadyAccepted]);
    const again = owner.accept(spec("k", 500));
    await sim.run(3000);
    const last = await again;
    t.equal(last.isOk() && last.value.code, ResultCode.TaskAlreadyAccepted);
    t.strictSame([owner.status("k")?.state, owner.status("k")?.output], ["finished", "ran 500 ms"]);
    t.strictSame(sim.checker.violations, []);
});

// Guards against tasks that can never run and wait forever, and against oversized log records.
t.test("a task that cannot run is refused with the reason", async t => {
    const { owner } = await createCell();
    const large = await owner.accept(spec("large", 500, 5));
    t.equal(large.isErr() && large.error.code, ResultCode.TaskFitsNoWorker);
    t.match(large.isErr() && large.error.message, /needs 5 processors.*workers have: 4 processors/);
    const long = await owner.accept({ ...spec("long", 1), payload: "x".repeat(20_000) });
    t.equal(long.isErr() && long.error.code, ResultCode.RequestTooLarge);
});

// Guards against a task that is retried forever, and against one that is ended after failing on one bad
// worker.
t.test("a task that fails on three workers ends as failed", async t => {
    const { sim, owner } = await createCell();
    void owner.accept(spec("bad", 100, 1, true));
    await sim.run(15_000);
    const status = owner.status("bad");
    t.strictSame([status?.state, status?.attempt], ["failed", 3]);
    t.match(status?.reason, /failed on w-\d, w-\d, w-\d; the last error: the task ended with an error/);
});

/** Codes of the answers to calls that are made at the same time. */
const codesOf = async (
    sim: Simulation,
    answers: readonly ReturnType<CellOwner["cancel"]>[],
): Promise<ResultCode[]> => {
    const all = Promise.all(answers);
    await sim.run(2000);
    return (await all).map(answer => (answer.isOk() ? answer.value.code : answer.error.code));
};

// Guards against a task that runs although its caller was told that it is unknown: its submission was on its way, in a process
// that was stopped or in a retry at the next owner.
t.test("a submission that arrives after its cancellation is not accepted", async t => {
    const { sim, owner } = await createCell();
    t.same(await codesOf(sim, [owner.cancel("k")]), [ResultCode.TaskUnknown]);
    t.same(await codesOf(sim, [owner.accept(spec("k", 500)), owner.cancel("k")]), [
        ResultCode.TaskCancelled,
        ResultCode.TaskUnknown,
    ]);
    t.same(
        await codesOf(sim, [owner.cancel("same"), owner.accept(spec("same", 500))]),
        [ResultCode.TaskUnknown, ResultCode.TaskCancelled],
        "both before the log has answered",
    );
    t.same(
        await codesOf(sim, [owner.accept(spec("first", 500)), owner.cancel("first")]),
        [ResultCode.TaskAccepted, ResultCode.TaskCancelled],
        "the submission came first",
    );
    sim.processes.forEach(process => (process.alive = false));
    await sim.run(20_000);
    const next = sim.current?.owner;
    t.not(next, owner);
    t.same(next && (await codesOf(sim, [next.accept(spec("k", 500))])), [ResultCode.TaskCancelled]);
    await sim.run(160_000);
    const accepted = sim.current?.owner?.accept(spec("k", 500));
    t.same(accepted && (await codesOf(sim, [accepted])), [ResultCode.TaskAccepted], "long after that");
    t.strictSame(sim.checker.violations, []);
});

// Guards against cancellations of unknown tasks that fill the log and the snapshot.
t.test("a bounded number of unknown keys is kept", async t => {
    const { sim, owner } = await createCell();
    const keys = Array.from({ length: 1_100 }, (_, index) => `unknown-${index}`);
    const codes = await codesOf(
        sim,
        keys.map(key => owner.cancel(key)),
    );
    t.equal(codes.filter(code => code === ResultCode.TaskUnknown).length, 1_000);
    t.equal(codes.filter(code => code === ResultCode.QueueFull).length, 100);
    t.same(await codesOf(sim, [owner.cancel("x".repeat(201))]), [ResultCode.TaskUnknown], "no key of a task");
    t.same(await codesOf(sim, [owner.cancel("unknown-0")]), [ResultCode.TaskUnknown], "a repeated one");
    await sim.run(170_000);
    const answer = sim.current?.owner?.cancel("later");
    t.same(answer && (await codesOf(sim, [answer])), [ResultCode.TaskUnknown], "once they are forgotten");
});

// Guards against cancellations that are lost when many arrive at once, and against cancelled tasks that keep
// running.
t.test("many cancellations at once end every task in any state", async t => {
    const { sim, owner } = await createCell();
    const keys = Array.from({ length: 3000 }, (_, index) => `wave-${index}`);
    keys.forEach(key => void owner.accept(spec(key, 60_000)));
    await sim.run(2000);
    t.equal(owner.describe().running, 16);
    t.match(owner.status("wave-2999")?.reason, /no open worker has enough free capacity|its turn/);
    const answers = Promise.all(keys.map(key => owner.cancel(key)));
    await sim.run(5000);
    const codes = new Set((await answers).map(answer => answer.isOk() && answer.value.code));
    t.strictSame([...codes], [ResultCode.TaskCancelled]);
    t.ok(keys.every(key => owner.status(key)?.state === "cancelled"));
    t.equal(owner.describe().running, 0);
    t.ok(sim.workers.every(worker => worker.model.tasks().length === 0));
    const unknownAnswer = owner.cancel("nobody");
    await sim.run(1000);
    const unknown = await unknownAnswer;
    t.equal(unknown.isErr() && unknown.error.code, ResultCode.TaskUnknown);
});

// Guards against evicted tasks that start from the beginning or run twice.
t.test("an evicted task resumes from its checkpoint", async t => {
    const { sim, owner } = await createCell();
    void owner.accept(spec("k", 10_000));
    await sim.run(6000);
    t.ok(owner.evict("k"));
    t.notOk(owner.evict("k"), "an eviction in progress is not started again");
    await sim.run(6000);
    const status = owner.status("k");
    t.strictSame(
        [status?.state, status?.attempt],
        ["finished", 2],
        "the second attempt ran only the remaining work",
    );
    t.strictSame(sim.checker.violations, []);
});

// Guards against a call to a worker that fails unexpectedly and ends the process, or is the last one to that worker.
t.test("calls to workers go on after one fails unexpectedly", async t => {
    const { sim, owner } = await createCell();
    const failed: string[] = [];
    const intercepted = t.intercept(SimWorkerClient.prototype, "outcomes", {
        configurable: true,
        value: () => {
            intercepted.restore();
            failed.push("outcomes");
            return Promise.reject(new TypeError("unexpected"));
        },
    });
    await sim.run(5000);
    t.strictSame(failed, ["outcomes"]);
    const keys = Array.from({ length: 16 }, (_, index) => `k-${index}`);
    const answers = Promise.all(keys.map(key => owner.accept(spec(key, 500))));
    await sim.run(8000);
    await answers;
    t.strictSame(
        keys.filter(key => owner.status(key)?.state !== "finished"),
        [],
        "tasks finish on every worker",
    );
    t.strictSame(sim.checker.violations, []);
});

// Guards against a drained or leaving worker that keeps its tasks or gets new ones.
for (const removal of ["drain", "leave"] as const) {
    t.test(`a worker that is to ${removal} hands its tasks over`, async t => {
        const { sim, owner } = await createCell();
        void Array.from({ length: 8 }, (_, index) => owner.accept(spec(`t-${index}`, 20_000)));
        await sim.run(2000);
        const [worker] = sim.workers;
        t.equal(worker?.model.tasks().length, 2);
        if (removal === "drain") {
            void owner.commandWorker("w-0", "drain");
        } else if (worker !== undefined) {
            worker.leaving = true;
        }
        await sim.run(5000);
        t.equal(worker?.model.tasks().length, 0);
        t.equal(owner.describe().running, 8);
        t.equal(owner.describe().workers[0]?.state, removal === "drain" ? "drained" : "leaving");
        const unknown = await owner.commandWorker("w-9", "drain");
        t.ok(unknown.isErr());
    });
}

// Guards against tasks of a dead worker that are lost, or restarted before their lease has ended.
t.test("tasks of an unresponsive worker are released after their lease", async t => {
    const { sim, owner } = await createCell();
    void owner.accept(spec("k", 30_000));
    await sim.run(2000);
    const worker = sim.workers.find(({ name }) => name === owner.status("k")?.worker);
    worker?.die();
    await sim.run(4000);
    t.match(owner.status("k")?.reason, /does not answer; the task is released in \d+ s/);
    await sim.run(8000);
    const status = owner.status("k");
    t.strictSame([status?.state, status?.attempt], ["running", 2]);
    t.not(status?.worker, worker?.name);
    t.strictSame(sim.checker.violations, []);
});

// Guards against a faulty worker that takes all queued tasks and fails them.
t.test("a worker that fails every task is quarantined", async t => {
    const { sim, owner } = await createCell();
    const [bad] = sim.workers;
    if (bad !== undefined) {
        bad.model.failTasks = true;
    }
    void Array.from({ length: 12 }, (_, index) => owner.accept(spec(`t-${index}`, 1000, 4)));
    await sim.run(12_000);
    t.equal(owner.describe().workers[0]?.state, "quarantined");
    await sim.run(10_000);
    t.equal(owner.statistics.get("cutting")?.finished, 12);
});

// Guards against urgent tasks that wait behind batch tasks in a full cell.
t.test("an urgent task evicts a batch task", async t => {
    const { sim, owner } = await createCell();
    void Array.from({ length: 4 }, (_, index) => owner.accept(spec(`batch-${index}`, 60_000, 4)));
    await sim.run(3000);
    void owner.accept({ ...spec("urgent", 1000, 2), pool: "proofs" });
    await sim.run(4000);
    t.equal(owner.status("urgent")?.state, "finished");
    t.equal(owner.statistics.get("cutting")?.evictions, 1);
});

// Guards against running tasks that end with a store outage, and against a refusal as not run when the
// submission may be recorded.
t.test("running tasks outlive a store outage", async t => {
    const { sim, owner } = await createCell();
    void owner.accept(spec("k", 20_000));
    await sim.run(2000);
    sim.log.stalled = true;
    const handed = owner.accept(spec("handed", 1000));
    const waiting = owner.accept(spec("waiting", 1000));
    await sim.run(30_000);
    const codes = (await Promise.all([handed, waiting])).map(answer => answer.isErr() && answer.error.code);
    t.strictSame(codes, [ResultCode.OwnerUnreachable, ResultCode.StoreUnavailable]);
    sim.log.heal();
    await sim.run(15_000);
    t.strictSame([owner.status("k")?.state, owner.status("k")?.attempt], ["finished", 1]);
    t.equal(owner.status("handed")?.state, "finished", "its answer left open whether it was recorded");
    t.equal(owner.status("waiting"), undefined);
    t.strictSame(sim.checker.violations, []);
});

// Guards against ending all running tasks when a directory has just started and lists nothing.
t.test("an empty directory list removes no worker", async t => {
    const { sim, owner } = await createCell();
    void owner.accept(spec("k", 15_000));
    await sim.run(2000);
    sim.workers.forEach(worker => (worker.listed = false));
    await sim.run(20_000);
    t.strictSame([owner.status("k")?.state, owner.status("k")?.attempt], ["finished", 1]);
});

// Guards against tasks that run twice: the directory names another VM under a worker's name, or none for a moment, while
// the worker still runs its tasks.
for (const change of ["listed with another address", "missing from the list"] as const) {
    t.test(`the tasks of a worker that is ${change} wait for their leases to end`, async t => {
        const { sim, owner } = await createCell();
        void owner.accept(spec("k", 60_000));
        await sim.run(2000);
        const worker = sim.workers.find(({ name }) => name === owner.status("k")?.worker);
        t.ok(worker);
        if (worker === undefined) {
            return;
        }
        worker.address = change === "missing from the list" ? worker.address : "127.0.0.1:2";
        worker.listed = change !== "missing from the list";
        await sim.run(4000);
        t.equal(owner.status("k")?.attempt, 1);
        t.equal(worker.model.tasks().length, 1, "it still runs");
        await sim.run(8000);
        t.equal(owner.status("k")?.attempt, 2);
        t.equal(worker.model.tasks().length, 0);
        t.strictSame(sim.checker.violations, []);
    });
}

// Guards against operators who are shown tasks as running although no worker has confirmed their start.
t.test("a task counts as queued until its worker confirms the start", async t => {
    const { sim, owner } = await createCell();
    sim.workers.forEach(worker => sim.cut(undefined, worker));
    const answers = Promise.all(["a", "b"].map(key => owner.accept(spec(key, 60_000))));
    await sim.run(500);
    await answers;
    t.strictSame([owner.status("a")?.state, owner.status("b")?.state], ["starting", "starting"]);
    t.strictSame([owner.describe().queued, owner.describe().running], [2, 0]);
    sim.healNetwork();
    await sim.run(10_000);
    t.strictSame([owner.describe().queued, owner.describe().running], [0, 2]);
});
