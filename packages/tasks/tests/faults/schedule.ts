import * as fc from "fast-check";
import type { Simulation } from "./simulation.js";

/** One step of a schedule: a fault or a caller's action, followed by a gap. `pick` selects its object. */
interface Step {
    readonly op: keyof typeof operations;
    readonly pick: number;
    readonly gapMs: number;
}

/** Parameters of a random run; message faults are drawn with the seed. */
interface Schedule {
    readonly seed: number;
    readonly faultRate: number;
    readonly steps: readonly Step[];
}

const pickFrom = <T>(list: readonly T[], pick: number): T | undefined => list[pick % list.length];

const operations = {
    submit: (sim: Simulation, pick: number): void => {
        const count = 1 + (pick % 4);
        for (let index = 0; index < count; index += 1) {
            const fail = (pick + index) % 9 === 0;
            const runMs = 200 + ((pick * 37 + index * 911) % 9000);
            sim.submit(`task-${sim.keys.length}`, fail ? { runMs: 300, fail } : { runMs });
        }
    },
    resubmit: (sim: Simulation, pick: number): void => {
        const key = pickFrom(sim.keys, pick);
        if (key !== undefined) {
            sim.resubmit(key);
        }
    },
    cancel: (sim: Simulation, pick: number): void => {
        const key = pickFrom(sim.keys, pick);
        if (key !== undefined) {
            sim.cancel(key);
        }
    },
    evict: (sim: Simulation, pick: number): void => {
        const running = [...sim.log.durable.tasks.values()].filter(task => task.state === "running");
        const key = pickFrom(running, pick)?.spec.key;
        if (key !== undefined) {
            sim.current?.owner?.evict(key);
        }
    },
    killOwner: (sim: Simulation): void => {
        const process = sim.current;
        if (process !== undefined) {
            process.alive = false;
        }
    },
    pauseOwner: (sim: Simulation): void => {
        const process = sim.current;
        if (process !== undefined) {
            process.paused = true;
        }
    },
    resumeOwners: (sim: Simulation): void => {
        sim.processes.filter(process => process.paused).forEach(process => process.resume());
    },
    cutWorker: (sim: Simulation, pick: number): void => {
        const worker = pickFrom(sim.workers, pick);
        if (worker !== undefined) {
            sim.cut(pick % 3 === 0 ? undefined : sim.current, worker);
        }
    },
    healNetwork: (sim: Simulation): void => sim.healNetwork(),
    killWorker: (sim: Simulation, pick: number): void => pickFrom(sim.workers, pick)?.die(),
    restartWorkers: (sim: Simulation): void => {
        for (const worker of sim.workers) {
            worker.alive = true;
            worker.listed = true;
        }
    },
    unlistDead: (sim: Simulation): void => {
        sim.workers.filter(worker => !worker.alive).forEach(worker => (worker.listed = false));
    },
    leave: (sim: Simulation, pick: number): void => {
        const worker = pickFrom(sim.workers, pick);
        if (worker !== undefined) {
            worker.leaving = !worker.leaving;
        }
    },
    drain: (sim: Simulation, pick: number): void => {
        const worker = pickFrom(sim.workers, pick);
        void (worker && sim.current?.owner?.commandWorker(worker.name, "drain"));
    },
    submitDeadly: (sim: Simulation, pick: number): void => {
        const crashAfterMs = [0, 50, 1500, 4000][pick % 4] ?? 0;
        const downMs = [500, 2000, 6000, 20_000][(pick >> 2) % 4] ?? 0;
        sim.submit(`task-${sim.keys.length}`, { runMs: 6000, crashAfterMs, downMs });
    },
    resize: (sim: Simulation, pick: number): void => {
        const worker = pickFrom(sim.workers, pick);
        worker?.resize(1 + ((pick >> 2) % 4));
    },
    crashAll: (sim: Simulation, pick: number): void => {
        sim.workers.forEach(worker => sim.crash(worker, 500 + (pick % 4) * 2000));
    },
    stallLog: (sim: Simulation): void => {
        sim.log.stalled = true;
    },
    healLog: (sim: Simulation): void => sim.log.heal(),
} as const;

const crashOps: readonly Step["op"][] = ["submitDeadly", "resize", "crashAll"];
const opNames = (Object.keys(operations) as Step["op"][]).filter(name => !crashOps.includes(name));

const stepArbitrary = (common: readonly Step["op"][], names: readonly Step["op"][]): fc.Arbitrary<Step> =>
    fc.record({
        op: fc.oneof(
            { arbitrary: fc.constantFrom(...common), weight: 12 },
            { arbitrary: fc.constantFrom(...names), weight: names.length },
        ),
        pick: fc.nat(1000),
        gapMs: fc.oneof(fc.nat(300), fc.nat(3000), fc.nat(12_000)),
    });

const scheduleArbitrary = (step: fc.Arbitrary<Step>): fc.Arbitrary<Schedule> =>
    fc.record({
        seed: fc.integer(),
        faultRate: fc.constantFrom(0, 0.02, 0.1, 0.25),
        steps: fc.array(step, { minLength: 4, maxLength: 24 }),
    });

const crashExtras: readonly Step["op"][] = [
    "killWorker",
    "restartWorkers",
    "leave",
    "resize",
    "drain",
    "evict",
    "cancel",
];

/** Generates and runs random schedules of faults and calls. */
export class Schedules {
    static readonly arbitrary = scheduleArbitrary(stepArbitrary(["submit", "evict", "cancel"], opNames));

    /** Schedules with tasks that crash their workers, and with changes of the owner. */
    static readonly withCrashes = scheduleArbitrary(
        stepArbitrary(
            ["submit", "submitDeadly", "killOwner"],
            [
                "killOwner",
                "pauseOwner",
                "resumeOwners",
                "cutWorker",
                "healNetwork",
                "crashAll",
                ...crashExtras,
            ],
        ),
    );

    /** Runs a schedule and returns the violations. */
    static async run(sim: Simulation, schedule: Schedule): Promise<readonly string[]> {
        sim.setFaultRate(schedule.faultRate);
        await sim.run(4000);
        for (const step of schedule.steps) {
            operations[step.op](sim, step.pick);
            await sim.run(step.gapMs);
        }
        await sim.settle();
        return sim.checker.violations;
    }
}
