import type { RandomSource } from "@samphireward/core/random-source";
import { draw } from "./draw.js";
import type { Scenario } from "./scenario.js";
import type { SimTask } from "./sim-task.js";
import type { UserProfile } from "./user-profile.js";

/** Tasks use between this part and all of their declared processors. */
const MinUsedShare = 0.6;

/** Seeded arrivals of tasks; the same for every policy. */
export class TaskGenerator {
    private count = 0;

    private constructor(
        private readonly profile: UserProfile,
        private readonly scenario: Scenario,
        private readonly random: RandomSource,
    ) {}

    static create(profile: UserProfile, scenario: Scenario, random: RandomSource): TaskGenerator {
        return new TaskGenerator(profile, scenario, random);
    }

    /** Watches, which run from the start to the end. */
    watches(): SimTask[] {
        return Array.from({ length: this.profile.watchCount }, () => this.create(1, 0));
    }

    /** Batch tasks submitted in one second. */
    arrivals(nowMs: number, isWave: boolean): SimTask[] {
        const { classes, workerCount: workers, processors, batchDemand } = this.profile;
        const free = workers * (processors - (classes[0]?.processors ?? 0));
        return classes.flatMap((simClass, index) => {
            if (simClass.kind !== "batch") {
                return [];
            }
            const wave = isWave && simClass.interferenceFactor > 1 ? this.scenario.noisyDemandFactor : 1;
            const work = free * batchDemand * simClass.batchDemandShare * wave;
            const count = draw.poisson(this.random, work / (simClass.processors * simClass.meanRunSeconds));
            return Array.from({ length: count }, () => this.create(index, nowMs));
        });
    }

    private create(classIndex: number, nowMs: number): SimTask {
        const simClass = this.profile.classes[classIndex];
        if (simClass === undefined) {
            throw new RangeError(`Class ${classIndex} is not in the profile`);
        }
        const { maxSizeErrorFactor: sizeError } = this.scenario;
        const use = MinUsedShare + this.random.next() * (1 - MinUsedShare);
        const isBatch = simClass.kind === "batch";
        this.count++;
        return {
            key: `t${this.count}`,
            simClass,
            classIndex,
            cell: this.random.below(this.profile.dataCentres.length),
            submittedMs: nowMs,
            usedProcessors:
                simClass.processors * use * draw.logUniformFactor(this.random, isBatch ? sizeError : 1),
            workSeconds: isBatch
                ? simClass.meanRunSeconds *
                  draw.logNormal(this.random, 0.5) *
                  draw.logUniformFactor(this.random, sizeError)
                : Infinity,
            doneSeconds: 0,
            checkpointSeconds: 0,
            processorShare: 1,
        };
    }
}
