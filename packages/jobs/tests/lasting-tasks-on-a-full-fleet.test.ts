import { Resources } from "@samphireward/core/resources";
import t from "tap";
import type { StepSpec } from "../src/step-spec.js";
import { BusyFleet } from "./busy-fleet.js";

const WorkerCount = 45;
const WorkerProcessors = 64;
/** Time for which callers may miss a lasting task while there is capacity for it, in milliseconds. */
const MaxDownMs = 6_000;
const DayMs = 40_000;
const MsPerSecond = 1_000;
const ImageCount = 10;

const lasting = (index: number, count: number): Partial<StepSpec> => ({
    lasting: true,
    tailTargetMs: 45,
    image: `serving-${index % ImageCount}`,
    count,
    resources: Resources.create({ processors: 10 + (index % 7), memoryMb: 20_000 + 3_000 * (index % 5) }),
});

const short = (index: number): Partial<StepSpec> => ({
    count: 4 + ((index * 7) % 13),
    estimatedMs: 700 + 150 * (index % 5),
    resources: Resources.create({ processors: 5 + ((index * 3) % 13), memoryMb: 22_000 }),
});

/** Effects of fillers that rule most pairs of serving images out as neighbours. */
const incompatibleImages = {
    headrooms: {},
    pairs: Object.fromEntries(
        Array.from({ length: ImageCount }, (_, serving) => [
            `serving-${serving}`,
            Array.from({ length: ImageCount }, (_, filler) => {
                const disturbs = (serving + 3 * filler) % 4 === 0;
                return [`filler-${filler}`, disturbs ? 12 : 0.1, 0.01] as const;
            }),
        ]),
    ),
};

/** Submits lasting jobs that request a share of the fleet's processors. */
const fillWithLasting = (fleet: BusyFleet, share: number): void => {
    let requested = 0;
    for (let index = 0; requested < share * WorkerCount * WorkerProcessors; index++) {
        const step = lasting(index, 8 + (index % 12));
        requested += (step.count ?? 0) * (step.resources?.processors ?? 0);
        fleet.submit(step);
    }
};

// Guards against a lasting task that is passed over while smaller and shorter tasks take all capacity that becomes free:
// it was stopped for them and had no run for 9 to 12 s, although the workers had capacity for it.
t.test("load pattern: lasting tasks fill the fleet and short tasks keep arriving", t => {
    const loads: { name: string; lastingShare: number; jobsPerSecond: number }[] = [
        { name: "short tasks fit beside the lasting ones", lastingShare: 0.85, jobsPerSecond: 1.5 },
        { name: "together they request a little more than there is", lastingShare: 0.95, jobsPerSecond: 1.5 },
        { name: "short tasks request twice as much", lastingShare: 0.92, jobsPerSecond: 3 },
    ];
    for (const { name, lastingShare, jobsPerSecond } of loads) {
        const fleet = BusyFleet.create(WorkerCount);
        fleet.harness.scheduler.effects.restore(incompatibleImages);
        fillWithLasting(fleet, lastingShare);
        fleet.advance(4_000);
        let submitted = 0;
        const startMs = fleet.nowMs;
        fleet.advance(DayMs, () => {
            while (submitted < ((fleet.nowMs - startMs) / MsPerSecond) * jobsPerSecond) {
                fleet.submit(short(submitted++));
            }
        });
        t.ok(
            fleet.longestDownMs <= MaxDownMs,
            `${name}: longest time without a run ${fleet.longestDownMs} ms, ${fleet.lastingStops} stops`,
        );
    }
    t.end();
});
