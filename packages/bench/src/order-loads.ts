import { Resources } from "@samphireward/core/resources";
import { SeededRandom } from "@samphireward/core/seeded-random";
import { plainStep } from "@samphireward/jobs/fixtures/plain-step";
import { queueRule } from "@samphireward/jobs/fixtures/queue-rule";
import { draw } from "./draw.js";
import type { OrderLoad } from "./order-load.js";

/** Time for which jobs arrive. */
const ArrivalMs = 40_000;
/** Mean work of a plain job in processor-milliseconds, so that a rate can be given as a share of the capacity. */
const MeanWorkMs = 27_000;
/** Processors of the cell in `OrderStudy`. */
const Processors = 64;
/** Period of waves of demand in the second deployment. */
const WaveMs = 13_000;

const rules = [
    { ...queueRule("desk"), priority: 1, stretch: 2, targetMs: 2_000 },
    { ...queueRule("urgent"), priority: 1, stretch: 1.5, targetMs: 500 },
    { ...queueRule("top"), priority: 0, stretch: 1.5, targetMs: 500 },
];

/** What a load consists of. */
interface LoadOptions {
    /** Demand as a share of the capacity at a time. */
    readonly demand: (ms: number) => number;
    /** Shares of jobs of the queues `urgent` and `top`. */
    readonly urgent?: number;
    readonly top?: number;
    /** Times at which many jobs arrive at once, with their number, their size and their queue. */
    readonly bursts?: readonly { atMs: number; count: number; size: number; queue: string }[];
    readonly trueFactor?: (random: SeededRandom) => number;
    readonly outage?: readonly [number, number];
}

const mixed = (random: SeededRandom): number => 0.75 + random.next() / 2;
const wave = (ms: number): number => 0.9 + 0.6 * Math.sin((2 * Math.PI * ms) / WaveMs);

const makeLoad = (name: string, options: LoadOptions, seed: number): OrderLoad => {
    const random = SeededRandom.create(seed);
    const jobs: OrderLoad["jobs"][number][] = [];
    const addJob = (atMs: number, queue: string, size: number): void => {
        const steps = Array.from({ length: 1 + random.below(3) }, (_, index) => ({
            ...plainStep,
            count: Math.max(1, Math.round(size * draw.logNormal(random, 0.8))),
            resources: Resources.create({ processors: 1 + random.below(3), memoryMb: 100 }),
            estimatedMs: Math.round(1_200 * draw.logNormal(random, 0.5)),
            after: index === 0 ? [] : [index - 1],
        }));
        const id = (jobs.length + 1).toString(16).padStart(16, "0");
        const spec = { id, queue, payload: "", steps, schedule: undefined, arrivedAtMs: atMs };
        jobs.push({ spec, trueFactor: (options.trueFactor ?? mixed)(random) });
    };
    for (let ms = 0; ms < ArrivalMs;) {
        const rate = (options.demand(ms) * Processors) / MeanWorkMs;
        ms += draw.exponential(random) / Math.max(rate, 1e-4);
        const pick = random.next();
        const { urgent = 0.2, top = 0.1 } = options;
        addJob(ms, pick < top ? "top" : pick < top + urgent ? "urgent" : "desk", 5);
    }
    for (const { atMs, count, size, queue } of options.bursts ?? []) {
        Array.from({ length: count }).forEach(() => addJob(atMs, queue, size));
    }
    jobs.sort((a, b) => a.spec.arrivedAtMs - b.spec.arrivedAtMs);
    return { name, rules, jobs, outage: options.outage };
};

const loads: Readonly<Record<string, LoadOptions>> = {
    "enough capacity": { demand: () => 0.6 },
    "bursts of large jobs": {
        demand: () => 0.7,
        bursts: [5_000, 20_000].map(atMs => ({ atMs, count: 8, size: 25, queue: "desk" })),
    },
    "bursts of urgent jobs": {
        demand: () => 0.8,
        bursts: [5_000, 15_000, 25_000].map(atMs => ({ atMs, count: 25, size: 3, queue: "urgent" })),
    },
    "bursts of a higher priority": {
        demand: () => 0.8,
        bursts: [5_000, 20_000].map(atMs => ({ atMs, count: 20, size: 5, queue: "top" })),
    },
    waves: { demand: wave },
    "loss of half of the capacity": { demand: () => 0.8, outage: [8_000, 22_000] },
    "lasting overload": { demand: () => 1.6 },
    "estimates 50% too high": { demand: ms => wave(ms) * 1.8, trueFactor: () => 0.5 },
    "estimates 50% too low": { demand: ms => wave(ms) / 1.4, trueFactor: () => 1.5 },
    "estimates off by 50% either way": { demand: wave, trueFactor: random => 0.5 + random.next() },
};

/** The loads on which start orders are compared. */
export const orderLoads = {
    names: Object.keys(loads),
    create: (name: string, seed: number): OrderLoad =>
        makeLoad(name, loads[name] ?? { demand: () => 0 }, seed),
};
