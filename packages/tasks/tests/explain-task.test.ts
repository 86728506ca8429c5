import { Resources } from "@samphireward/core/resources";
import { ResultCode } from "@samphireward/core/result-code";
import { SeededRandom } from "@samphireward/core/seeded-random";
import type { TaskSpec } from "@samphireward/core/task-spec";
import t from "tap";
import type { CellOwner } from "../src/cell-owner.js";
import type { TaskExplanation } from "../src/task-explanation.js";
import { Simulation } from "./faults/simulation.js";

const Seeds = 24;
/** Longer than an owner's pause between two questions. */
const PauseMs = 300;

const spec = (key: string, processors: number, runMs = 60_000, pool = "cutting"): TaskSpec => ({
    key,
    pool,
    resources: Resources.create({ processors, memoryMb: 100 }),
    expectedRunMs: runMs,
    payload: JSON.stringify({ runMs }),
});

/** A cell of four workers of 4 processors, with random tasks that run and wait. */
const createCell = async (seed: number): Promise<{ sim: Simulation; owner: CellOwner; keys: string[] }> => {
    const sim = Simulation.create(seed);
    await sim.run(5_000);
    const owner = sim.current?.owner;
    if (owner === undefined) {
        throw new Error("the cell has no owner");
    }
    const random = SeededRandom.create(seed * 7_919);
    const keys = Array.from({ length: seed % 12 }, (_, index) => `k${index}`);
    for (const key of keys) {
        void owner.accept(spec(key, 1 + Math.floor(random.next() * 4)));
    }
    await sim.run(2_000);
    return { sim, owner, keys };
};

const explain = (owner: CellOwner, asked: TaskSpec): TaskExplanation | undefined =>
    owner.explain(asked).unwrapOr(undefined);

// Guards against an explanation that names another worker than the one on which the task then starts.
t.test("a task that would start now starts on the explained worker", async t => {
    let started = 0;
    for (let seed = 1; seed <= Seeds; seed++) {
        const { sim, owner } = await createCell(seed);
        const asked = spec("asked", 1 + (seed % 3), 10_000, seed % 2 === 0 ? "cutting" : "proofs");
        const explained = explain(owner, asked);
        t.ok(explained, `seed ${seed}`);
        void owner.accept(asked);
        await sim.run(1_000);
        const worker = owner.status("asked")?.worker ?? "";
        if (worker !== "" && explained?.worker === undefined) {
            t.match(explained?.reason, /batch tasks may be evicted for it/, `seed ${seed}`);
        } else {
            t.equal(explained?.worker?.id ?? "", worker, `seed ${seed}`);
        }
        started += explained?.outcome === "starts" ? 1 : 0;
    }
    t.ok(started > 0 && started < Seeds, `${started} of ${Seeds} started`);
});

// Guards against an explanation that queues the task, holds a worker or reserves quota, and so changes later placements.
t.test("later placements are the same with and without an explanation before them", async t => {
    for (let seed = 1; seed <= Seeds; seed++) {
        const results = [];
        for (const explains of [true, false]) {
            const { sim, owner, keys } = await createCell(seed);
            if (explains) {
                t.ok(explain(owner, spec("asked", 2)), `seed ${seed}`);
            }
            void owner.accept(spec("later", 2));
            await sim.run(1_000);
            results.push({ cell: owner.describe(), tasks: [...keys, "later"].map(key => owner.status(key)) });
        }
        t.strictSame(results[0], results[1], `seed ${seed}`);
    }
});

// Guards against an operator who is not told why a task would wait or be refused, and against questions that take the time
// of the cell's owner.
t.test("a wait, a refusal and a known task are told with their reasons", async t => {
    const sim = Simulation.create(1);
    await sim.run(5_000);
    const owner = sim.current?.owner;
    if (owner === undefined) {
        throw new Error("the cell has no owner");
    }
    for (let index = 0; index < 5; index++) {
        void owner.accept(spec(`k${index}`, 4));
    }
    await sim.run(2_000);
    t.match(explain(owner, spec("asked", 4)), {
        outcome: "waits",
        reason: /behind k\d, a task of its kind/,
        ahead: { tasks: 1, processorMs: 240_000 },
        workers: { total: 4, suitable: 0, excluded: [{ count: 4 }] },
    });
    const busy = owner.explain(spec("asked", 4));
    t.equal(busy.isErr() && busy.error.code, ResultCode.CellOwnerBusy);
    await sim.run(PauseMs);
    t.match(explain(owner, spec("large", 5)), {
        outcome: "refused",
        reason: /2101 TaskFitsNoWorker: .*needs 5/,
    });
    await sim.run(PauseMs);
    t.match(explain(owner, spec("k0", 4)), { outcome: "known", reason: /is running/ });
    owner.close();
    const closed = owner.explain(spec("asked", 4));
    t.equal(closed.isErr() && closed.error.code, ResultCode.NoCellOwner);
});
