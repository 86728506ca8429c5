import type { RandomSource } from "@samphireward/core/random-source";
import { SeededRandom } from "@samphireward/core/seeded-random";
import { QuarantineTracker } from "@samphireward/placement/quarantine-tracker";
import { WorkerHealth } from "@samphireward/placement/worker-health";

const WorkerCount = 30;
const BrokenWorkerCount = 2;
const RunSeconds = 1800;
const StartsPerSecond = 5;
/** Share of the jobs that fail on every worker, and share of the starts that fail at random. */
const BadJobShare = 0.02;
const RandomFailureShare = 0.01;
const MaxFailuresPerJob = 3;

const names = Array.from({ length: WorkerCount }, (_, index) => `w${index}`);
const brokenNames = new Set(names.slice(0, BrokenWorkerCount));

/** Simulates a cell in which the broken workers fail a share of their starts from 300 s to 1200 s. */
const run = (
    failureThreshold: number,
    successThreshold: number,
    brokenShare: number,
    seed: number,
): { lostStarts: number; healthySecondsLost: number; goodJobsFailed: number } => {
    const random: RandomSource = SeededRandom.create(seed);
    const tracker = QuarantineTracker.create({ failureThreshold, successThreshold });
    tracker.setWorkers(names);
    let lostStarts = 0;
    let healthySecondsLost = 0;
    let goodJobsFailed = 0;
    for (let second = 0; second < RunSeconds; second++) {
        tracker.refresh(second * 1000);
        const isBroken = (name: string): boolean => second >= 300 && second < 1200 && brokenNames.has(name);
        for (let start = 0; start < StartsPerSecond; start++) {
            const job = `j${second}-${start}`;
            const isBad = random.next() < BadJobShare;
            const failedOn = new Set<string>();
            const started = new Set<string>();
            while (failedOn.size < MaxFailuresPerJob) {
                const eligible = names.filter(
                    name => !failedOn.has(name) && tracker.mayPlace(name, started.has(name) ? 1 : 0),
                );
                const worker = eligible[random.below(eligible.length)];
                if (worker === undefined) {
                    break;
                }
                started.add(worker);
                const failsHere = isBroken(worker) && random.next() < brokenShare;
                if (!isBad && !failsHere && random.next() >= RandomFailureShare) {
                    tracker.recordSuccess(worker, job);
                    break;
                }
                lostStarts += isBroken(worker) && !isBad ? 1 : 0;
                failedOn.add(worker);
                tracker.recordFailure(worker, job, second * 1000);
            }
            goodJobsFailed += !isBad && failedOn.size === MaxFailuresPerJob ? 1 : 0;
        }
        healthySecondsLost += names.filter(
            name => !isBroken(name) && tracker.health(name) !== WorkerHealth.Normal,
        ).length;
    }
    return { lostStarts, healthySecondsLost, goodJobsFailed };
};

const seeds = [1, 2, 3, 4, 5];
for (const brokenShare of [1, 0.8]) {
    for (const [failureThreshold, successThreshold] of [
        [1, 1],
        [1, 3],
        [2, 1],
        [2, 3],
        [3, 1],
        [3, 3],
        [5, 3],
        [1_000_000, 1],
    ] as const) {
        const results = seeds.map(seed => run(failureThreshold, successThreshold, brokenShare, seed));
        const mean = (key: keyof (typeof results)[number]): number =>
            results.reduce((sum, result) => sum + result[key], 0) / results.length;
        process.stdout.write(
            `${JSON.stringify({
                failureThreshold,
                successThreshold,
                brokenShare,
                seeds,
                lostStarts: mean("lostStarts"),
                healthySecondsLost: mean("healthySecondsLost"),
                goodJobsFailed: mean("goodJobsFailed"),
            })}\n`,
        );
    }
}
