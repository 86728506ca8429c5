import { SeededRandom } from "@samphireward/core/seeded-random";
import { ScaleFleet } from "./scale-fleet.js";

/** Fleet sizes and their running tasks; the last one is the target in two years. */
const fleets = [
    { workers: 30, tasks: 450 },
    { workers: 300, tasks: 4_500 },
    { workers: 3_000, tasks: 45_000 },
    { workers: 9_000, tasks: 133_000 },
] as const;
const WorkersPerCell = 100;
const Decisions = 20_000;
/** Full scans are slow, and fewer of them give the same mean. */
const FullScanDecisions = 1_000;
/** Decisions per second of the whole fleet at the target. */
const TargetDecisionsPerSecond = 4_300;

/** Heap in use after a garbage collection, in MB. Without `node --expose-gc`, no collection takes place before. */
const heapUsedMb = (): number => {
    globalThis.gc?.();
    return process.memoryUsage().heapUsed / 2 ** 20;
};

/** Measures decisions in a fleet divided into cells of at most `cellWorkers` workers, and prints a line. */
const measure = (workers: number, tasks: number, cellWorkers: number, mode: "index" | "scan"): void => {
    const random = SeededRandom.create(31);
    const before = heapUsedMb();
    const count = Math.ceil(workers / cellWorkers);
    const cells = Array.from({ length: count }, () =>
        ScaleFleet.create(workers / count, tasks / count, random),
    );
    const heapMb = heapUsedMb() - before;
    const decisions = mode === "scan" ? FullScanDecisions : Decisions;
    const run = (repeats: number): void => {
        for (let index = 0; index < repeats; index++) {
            cells[index % count]?.replaceTask(mode);
        }
    };
    run(decisions / 4);
    const startedUs = process.cpuUsage();
    run(decisions);
    const usedUs = process.cpuUsage(startedUs);
    const microseconds = (usedUs.user + usedUs.system) / decisions;
    process.stdout.write(
        `${JSON.stringify({
            workers,
            tasks,
            cells: count,
            mode,
            seed: 31,
            decisions,
            microsecondsPerDecision: Number(microseconds.toPrecision(3)),
            heapMb: Number(heapMb.toPrecision(3)),
            heapMbPerCell: Number((heapMb / count).toPrecision(3)),
            coreShareAtTarget: Number(((microseconds * TargetDecisionsPerSecond) / 1e6).toPrecision(3)),
            coreSharePerCell: Number(((microseconds * TargetDecisionsPerSecond) / 1e6 / 90).toPrecision(3)),
        })}\n`,
    );
};

for (const { workers, tasks } of fleets) {
    measure(workers, tasks, workers, "index");
    measure(workers, tasks, WorkersPerCell, "index");
    measure(workers, tasks, workers, "scan");
    measure(workers, tasks, WorkersPerCell, "scan");
}
