import { SeededRandom } from "@samphireward/core/seeded-random";
import t from "tap";
import { Simulation } from "./faults/simulation.js";

const Seeds = Array.from({ length: 100 }, (_, index) => 5901 + index);
/** The first numbers of neighbouring seeds resemble each other. */
const SkippedDraws = 16;
const StepMs = 200;
const PlayMs = 150_000;
/** Mean times between two crashes of one worker for causes outside the tasks. */
const MeanUpMs = [6000, 12_000, 25_000, 60_000, Infinity];
const SoundTasks = 5;
const MaxDeadlyTasks = 2;
/** One more crash of workers under the same task is beyond the allowance. */
const MaxCrashes = 5;

/** What went wrong in one play. */
interface PlayErrors {
    /** Sound tasks that were given up. */
    readonly givenUp: number;
    /** Deadly tasks that crashed more workers than allowed. */
    readonly beyond: number;
    /** Deadly tasks that were not given up in a cell without other crashes. */
    readonly kept: number;
}

const pick = <T>(random: SeededRandom, list: readonly T[]): T => list[random.below(list.length)] as T;

/** Plays a cell of four workers that crash at a drawn rate, with sound and deadly tasks and changes of the owner. */
const play = async (seed: number): Promise<PlayErrors> => {
    const random = SeededRandom.create(seed);
    Array.from({ length: SkippedDraws }, () => random.next());
    const sim = Simulation.create(seed);
    const meanUpMs = pick(random, MeanUpMs);
    const meanOwnerMs = pick(random, [Infinity, Infinity, 20_000]);
    const deadlyCount = random.below(MaxDeadlyTasks + 1);
    await sim.run(6000);
    for (let index = 0; index < SoundTasks; index += 1) {
        sim.submit(`sound-${index}`, { runMs: 600_000 });
    }
    for (let index = 0; index < deadlyCount; index += 1) {
        const crashAfterMs = pick(random, [0, 300, 1500, 3000]);
        sim.submit(`deadly-${index}`, { runMs: 600_000, crashAfterMs, downMs: 1500 });
    }
    for (let elapsedMs = 0; elapsedMs < PlayMs; elapsedMs += StepMs) {
        await sim.run(StepMs);
        for (const worker of sim.workers.filter(({ alive }) => alive)) {
            if (random.next() < StepMs / meanUpMs) {
                sim.crash(worker, 500 + random.below(3000));
            }
        }
        const process = sim.current;
        if (process !== undefined && random.next() < StepMs / meanOwnerMs) {
            process.alive = false;
        }
    }
    const failed = sim.keys.filter(key => sim.log.durable.get(key)?.state === "failed");
    const crashes = [...sim.checker.crashes.values()];
    return {
        givenUp: failed.filter(key => key.startsWith("sound")).length,
        beyond: crashes.filter(count => count > MaxCrashes).length,
        kept: meanUpMs === Infinity ? deadlyCount - failed.filter(key => key.startsWith("deadly")).length : 0,
    };
};

// Guards against sound tasks that are given up for crashes with other causes, and against tasks that crash more workers
// than allowed while such crashes hide them.
t.test("sound tasks stay and deadly ones end at every rate of other crashes", { timeout: 0 }, async t => {
    const results: (PlayErrors & { readonly seed: number })[] = [];
    for (const seed of Seeds) {
        results.push({ seed, ...(await play(seed)) });
    }
    const sum = (of: (errors: PlayErrors) => number): number =>
        results.reduce((total, errors) => total + of(errors), 0);
    t.comment(results.filter(({ givenUp, beyond, kept }) => givenUp + beyond + kept > 0));
    t.equal(
        sum(({ givenUp }) => givenUp),
        0,
        "sound tasks that were given up",
    );
    t.equal(
        sum(({ beyond }) => beyond),
        0,
        "deadly tasks that crashed more workers than allowed",
    );
    t.equal(
        sum(({ kept }) => kept),
        0,
        "deadly tasks that were kept in a cell without other crashes",
    );
});

// Guards against a sound task that is given up for two crashes, which its different ages there do not relate to it.
t.test("a sound task under which workers crash at different ages goes on", async t => {
    const sim = Simulation.create(1);
    await sim.run(8000);
    sim.submit("sound", { runMs: 600_000 });
    for (const ageMs of [900, 4000, 9000, 2500, 14_000]) {
        while (sim.log.durable.get("sound")?.state !== "running") {
            await sim.run(100);
            if (sim.log.durable.ended.has("sound")) {
                t.fail(`ended before the crash at ${ageMs} ms`);
                return;
            }
        }
        await sim.run(ageMs);
        const name = sim.log.durable.get("sound")?.worker;
        sim.workers.filter(worker => worker.name === name).forEach(worker => sim.crash(worker, 1500));
        await sim.run(100);
    }
    await sim.run(20_000);
    t.equal(sim.log.durable.get("sound")?.state, "running");
});

// Guards against a sound task that is given up for crashes at the same age while other workers crash as well.
t.test("a sound task goes on where half of the workers crash again and again", async t => {
    const sim = Simulation.create(1);
    await sim.run(8000);
    sim.submit("sound", { runMs: 600_000 });
    for (let round = 0; round < 6; round += 1) {
        for (let step = 0; step < 300 && sim.log.durable.get("sound")?.state !== "running"; step += 1) {
            await sim.run(100);
        }
        await sim.run(1500);
        const name = sim.log.durable.get("sound")?.worker;
        const other = sim.workers.find(worker => worker.name !== name);
        sim.workers
            .filter(worker => worker.name === name || worker === other)
            .forEach(worker => sim.crash(worker, 1500));
        await sim.run(100);
    }
    await sim.run(30_000);
    t.not(sim.log.durable.get("sound")?.state, "failed");
});
