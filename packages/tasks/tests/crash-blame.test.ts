import { Resources } from "@samphireward/core/resources";
import t from "tap";
import type { CellOwner } from "../src/cell-owner.js";
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
