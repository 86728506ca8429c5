import { Resources } from "@samphireward/core/resources";
import t from "tap";
import type { CellOwner } from "../src/cell-owner.js";
import { Schedules } from "./faults/schedule.js";
import { Simulation } from "./faults/simulation.js";

/** Returns the owner of a cell with four idle workers, each of 4 processors and in a rack of its own. */
const waitForOwner = async (sim: Simulation): Promise<CellOwner> => {
    while (sim.current?.owner === undefined) {
        await sim.run(1000);
    }
    await sim.run(3000);
    return sim.current?.owner ?? (await waitForOwner(sim));
};

const spec = (key: string, payload: object, processors = 1) => ({
    key,
    pool: "cutting",
    resources: Resources.create({ processors, memoryMb: 100 }),
    expectedRunMs: 1000,
    payload: JSON.stringify(payload),
});

// Guards against a task that crashes one worker after another, the next one as soon as its last lease has ended.
for (const [when, crashAfterMs] of Object.entries({ "at its start": 0, "after some time": 1500 })) {
    t.test(`a task that crashes its worker ${when} is given up`, async t => {
        const sim = Simulation.create(1);
        const owner = await waitForOwner(sim);
        void owner.accept(spec("deadly", { runMs: 5000, crashAfterMs }));
        await sim.run(120_000);
        t.strictSame(sim.checker.violations, []);
        t.equal(sim.checker.crashes.get("deadly"), 2);
        t.equal(owner.status("deadly")?.state, "failed");
        t.match(owner.status("deadly")?.reason, /w-\d and w-\d crashed while they ran it/);
    });
}

/** Records of tasks that were given up, by key. */
const givenUp = (sim: Simulation): string[] =>
    sim.keys.filter(key => sim.log.durable.get(key)?.state === "failed");

const submitNeighbours = (sim: Simulation, count: number, runMs: number): void => {
    for (let index = 0; index < count; index += 1) {
        sim.submit(`neighbour-${index}`, { runMs });
    }
};

// Guards against tasks that are given up because they ran beside one that crashed their worker.
for (const seed of [1, 2, 3]) {
    t.test(`the neighbours of a task that crashes its worker go on, seed ${seed}`, async t => {
        const sim = Simulation.create(seed);
        const owner = await waitForOwner(sim);
        submitNeighbours(sim, 9, 15_000);
        sim.submit("deadly", { runMs: 5000, crashAfterMs: 1500 });
        await sim.run(120_000);
        t.strictSame(givenUp(sim), ["deadly"]);
        t.equal(sim.checker.crashes.get("deadly"), 2);
        const neighbours = sim.keys.filter(key => key !== "deadly");
        t.strictSame([...new Set(neighbours.map(key => owner.status(key)?.state))], ["finished"]);
        t.strictSame(sim.checker.violations, []);
    });
}

// Guards against a count of crashes that is lost when the cell's owner dies between a crash and its discovery.
t.test("the crashes of a task count across changes of the owner", async t => {
    for (const killAfterMs of [0, 300, 800, 1500, 2500, 3500]) {
        const sim = Simulation.create(1);
        await waitForOwner(sim);
        sim.submit("deadly", { runMs: 5000, crashAfterMs: 500 });
        for (let crashes = 1; crashes <= 3; crashes += 1) {
            for (let step = 0; step < 600 && (sim.checker.crashes.get("deadly") ?? 0) < crashes; step += 1) {
                await sim.run(100);
            }
            await sim.run(killAfterMs);
            const process = sim.current;
            if (process !== undefined) {
                process.alive = false;
            }
        }
        await sim.run(60_000);
        t.equal(sim.log.durable.get("deadly")?.state, "failed", `killed ${killAfterMs} ms after each crash`);
        t.ok((sim.checker.crashes.get("deadly") ?? 0) <= 3, `at most three crashes (${killAfterMs} ms)`);
        t.strictSame(sim.checker.violations, []);
    }
});

// Guards against tasks that are given up for crashes of all workers, whose cause is outside the tasks.
t.test("the loss of all workers condemns nothing", async t => {
    const sim = Simulation.create(1);
    await waitForOwner(sim);
    submitNeighbours(sim, 6, 20_000);
    for (let round = 0; round < 2; round += 1) {
        await sim.run(5000);
        sim.workers.forEach(worker => sim.crash(worker, 1500));
    }
    await sim.run(9000);
    t.equal(sim.current?.owner?.describe().running, 6, "all run, and several on one worker");
    await sim.run(40_000);
    t.strictSame(givenUp(sim), []);
    t.ok(sim.keys.every(key => sim.log.durable.get(key)?.state === "finished"));
});

// Guards against tasks that are blamed for cuts, and that stay suspects after their worker is back.
t.test("workers that were only cut off clear their tasks", async t => {
    const sim = Simulation.create(1);
    const owner = await waitForOwner(sim);
    sim.submit("k", { runMs: 600_000 });
    await sim.run(2000);
    for (let round = 0; round < 4; round += 1) {
        const worker = sim.workers.find(({ name }) => name === owner.status("k")?.worker);
        if (worker !== undefined) {
            sim.cut(undefined, worker);
        }
        await sim.run(12_000);
        t.match(sim.log.durable.get("k")?.losses, [{ verdict: "lost", worker: worker?.name }]);
        sim.healNetwork();
        await sim.run(5000);
        t.strictSame(sim.log.durable.get("k")?.losses, []);
    }
    t.equal(owner.status("k")?.state, "running");
});

// Guards against a task that is given up because the workers that it was on were taken away as planned.
t.test("a planned leave condemns nothing", async t => {
    const sim = Simulation.create(1);
    const owner = await waitForOwner(sim);
    sim.submit("k", { runMs: 600_000 });
    for (let round = 0; round < 2; round += 1) {
        await sim.run(3000);
        const worker = sim.workers.find(({ name }) => name === owner.status("k")?.worker);
        if (worker !== undefined) {
            worker.leaving = true;
            sim.cut(undefined, worker);
            await sim.run(1500);
            worker.die();
            worker.listed = false;
        }
        await sim.run(20_000);
    }
    t.equal(owner.status("k")?.state, "running");
    t.ok(sim.log.durable.get("k")?.losses.every(({ verdict }) => verdict === "excused"));
});

// Guards against a task that stays a suspect for ever, and against one that is cleared by a run that proves nothing.
t.test("a task is cleared once it has run long enough", async t => {
    const sim = Simulation.create(1);
    const owner = await waitForOwner(sim);
    sim.submit("k", { runMs: 600_000 });
    await sim.run(3000);
    const worker = sim.workers.find(({ name }) => name === owner.status("k")?.worker);
    if (worker !== undefined) {
        sim.crash(worker, 1000);
    }
    await sim.run(50_000);
    t.match(sim.log.durable.get("k")?.losses, [{ verdict: "crashed" }]);
    await sim.run(30_000);
    t.strictSame(sim.log.durable.get("k")?.losses, []);
});

// Guards against workers that leave use because a task crashed them: the task is at fault.
t.test("crashes quarantine no worker", async t => {
    const sim = Simulation.create(1);
    const owner = await waitForOwner(sim);
    for (let index = 0; index < 4; index += 1) {
        sim.submit(`deadly-${index}`, { runMs: 5000, crashAfterMs: 500, downMs: 1000 });
        await sim.run(15_000);
    }
    await sim.run(30_000);
    t.equal(givenUp(sim).length, 4);
    t.strictSame(
        owner.describe().workers.map(({ state }) => state),
        ["open", "open", "open", "open"],
    );
});

// Guards against a crash that counts nothing because the task was to be moved: the worker is back before any other call.
t.test("a crash that shows at the checkpoint of an eviction counts", async t => {
    const sim = Simulation.create(1);
    const owner = await waitForOwner(sim);
    sim.submit("k", { runMs: 600_000 });
    await sim.run(3000);
    const worker = sim.workers.find(({ name }) => name === owner.status("k")?.worker);
    worker?.die();
    if (worker !== undefined) {
        worker.alive = true;
    }
    t.ok(owner.evict("k"));
    await sim.run(6000);
    t.match(sim.log.durable.get("k")?.losses, [{ verdict: "crashed", worker: worker?.name }]);
    t.strictSame(sim.checker.violations, []);
});

// Guards against a suspect beside another one: an excused loss that was decided again while the task's start was recorded.
t.test("an excused loss is not decided again when the worker is back", async t => {
    const steps = [
        { op: "submitDeadly", pick: 619, gapMs: 11_988 },
        { op: "evict", pick: 13, gapMs: 9554 },
        { op: "submitDeadly", pick: 432, gapMs: 5 },
        { op: "killOwner", pick: 476, gapMs: 77 },
        { op: "killOwner", pick: 279, gapMs: 1063 },
        { op: "evict", pick: 560, gapMs: 2514 },
        { op: "submit", pick: 377, gapMs: 53 },
        { op: "submitDeadly", pick: 728, gapMs: 293 },
        { op: "resumeOwners", pick: 30, gapMs: 1346 },
        { op: "submitDeadly", pick: 318, gapMs: 10_883 },
        { op: "submit", pick: 701, gapMs: 11 },
        { op: "resize", pick: 840, gapMs: 147 },
        { op: "crashAll", pick: 415, gapMs: 10_127 },
        { op: "cutWorker", pick: 461, gapMs: 11 },
        { op: "pauseOwner", pick: 198, gapMs: 13 },
        { op: "cutWorker", pick: 357, gapMs: 2893 },
        { op: "submit", pick: 611, gapMs: 2815 },
        { op: "killOwner", pick: 986, gapMs: 1524 },
    ] as const;
    const schedule = { seed: -10, faultRate: 0.02, steps };
    t.strictSame(await Schedules.run(Simulation.create(schedule.seed), schedule), []);
});
