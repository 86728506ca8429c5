import { Resources } from "@samphireward/core/resources";
import t from "tap";
import type { CellOwner } from "../src/cell-owner.js";
import { Simulation } from "./faults/simulation.js";
import type { SimWorker } from "./faults/sim-worker.js";

/** Time in which the directory's list reaches the owner. */
const DirectoryLagMs = 2500;

/** A cell in which only `w-0` takes tasks; the worker starts everything, whatever its capacity is now. */
const createCell = async (): Promise<{ sim: Simulation; owner: CellOwner; worker: SimWorker }> => {
    const sim = Simulation.create(1);
    await sim.run(5000);
    const owner = sim.current?.owner;
    const [worker, ...others] = sim.workers;
    if (owner === undefined || worker === undefined) {
        throw new Error("the cell has no owner or no worker");
    }
    others.forEach(({ name }) => void owner.commandWorker(name, "quarantine"));
    await sim.run(1000);
    return { sim, owner, worker };
};

const spec = (key: string, runMs: number, processors = 1) => ({
    key,
    pool: "cutting",
    resources: Resources.create({ processors, memoryMb: 100 }),
    expectedRunMs: runMs,
    payload: JSON.stringify({ runMs }),
});

const runningOn = (worker: SimWorker): string[] => worker.model.tasks().map(({ key }) => key);

// Guards against a start that was decided before the capacity shrank and is sent after it.
t.test("a start whose record becomes durable after the capacity shrank is not sent", async t => {
    const { sim, owner, worker } = await createCell();
    const answers = ["a", "b", "c"].map(key => owner.accept(spec(key, 60_000)));
    await sim.run(3000);
    t.equal((await Promise.all(answers)).length, 3);
    t.strictSame(runningOn(worker).sort(), ["a", "b", "c"]);
    void owner.accept(spec("d", 60_000));
    while (owner.status("d") === undefined) {
        await sim.run(10);
    }
    sim.log.stalled = true;
    worker.resize(3);
    await sim.run(DirectoryLagMs);
    sim.log.heal();
    await sim.run(DirectoryLagMs);
    t.strictSame(runningOn(worker).sort(), ["a", "b", "c"]);
    worker.resize(4);
    await sim.run(2 * DirectoryLagMs);
    t.strictSame(runningOn(worker).sort(), ["a", "b", "c", "d"], "it starts once the worker has grown");
    t.strictSame(sim.checker.violations, []);
});

// Guards against starts on a worker that runs more than it can hold now, among them starts in place of tasks whose stop is
// not confirmed, and against a worker that stays closed after it has grown.
t.test("a worker over its capacity gets no task until enough have ended", async t => {
    const { sim, owner, worker } = await createCell();
    ["a", "b", "c", "d"].forEach(key => void owner.accept(spec(key, 60_000)));
    await sim.run(3000);
    worker.resize(2);
    await sim.run(DirectoryLagMs);
    void owner.accept(spec("e", 60_000));
    sim.cut(undefined, worker);
    void owner.cancel("a");
    void owner.cancel("b");
    void owner.cancel("c");
    await sim.run(1500);
    t.strictSame(runningOn(worker).length, 4, "the stops are not confirmed");
    sim.healNetwork();
    await sim.run(3000);
    t.strictSame(runningOn(worker).sort(), ["d", "e"]);
    void owner.accept(spec("f", 60_000));
    await sim.run(3000);
    t.equal(owner.status("f")?.state, "queued");
    worker.resize(3);
    await sim.run(2 * DirectoryLagMs);
    t.strictSame(runningOn(worker).sort(), ["d", "e", "f"]);
    t.strictSame(sim.checker.violations, []);
});

// Guards against a worker that is kept free for a task that it cannot hold any more, while other tasks pass that task.
t.test("a worker that has become too small is not kept free for a task", async t => {
    const { sim, owner, worker } = await createCell();
    void owner.accept(spec("long", 600_000));
    await sim.run(2000);
    void owner.accept(spec("large", 60_000, 4));
    await sim.run(35_000);
    void owner.accept(spec("small", 60_000));
    await sim.run(3000);
    t.equal(owner.status("small")?.state, "queued", "the worker is kept free");
    worker.resize(2);
    await sim.run(2 * DirectoryLagMs);
    t.strictSame(runningOn(worker).sort(), ["long", "small"]);
    t.strictSame(sim.checker.violations, []);
});
