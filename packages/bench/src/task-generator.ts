import type { RandomSource } from "@samphireward/core/random-source";
import { draw } from "./draw.js";
import type { Scenario } from "./scenario.js";
import type { SimTask } from "./sim-task.js";
import type { UserProfile } from "./user-profile.js";

/** Smallest share of its declared processors that a task uses. */
const MinUsedShare = 0.6;

/** Generates the tasks of a run from a seed, the same for every policy. */
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

    /** The watches, which run from the start to the end. */
    watches(): SimTask[] {
        return Array.from({ length: this.profile.watchCount }, () => this.create(1, 0));
    }

    /** The batch tasks that are submitted in one second. */
    arrivals(nowMs: number, isEventActive: boolean): SimTask[] {
        const { classes, workerCount, processors, batchDemand } = this.profile;
        const freeProcessors = workerCount * (processors - (classes[0]?.processors ?? 0));
        return classes.flatMap((simClass, index) => {
            if (simClass.kind !== "batch") {
                return [];
            }
            const demandFactor =
                isEventActive && simClass.interferenceFactor > 1 ? this.scenario.noisyDemandFactor : 1;
            const demandProcessors = freeProcessors * batchDemand * simClass.batchDemandShare * demandFactor;
            const count = draw.poisson(
                this.random,
                demandProcessors / (simClass.processors * simClass.meanRunSeconds),
            );
            return Array.from({ length: count }, () => this.create(index, nowMs));
        });
    }

    private create(classIndex: number, nowMs: number): SimTask {
        const simClass = this.profile.classes[classIndex];
        if (simClass === undefined) {
            throw new RangeError(`class index ${classIndex} is not in the profile`);
        }
        const { maxSizeErrorFactor } = this.scenario;
        const usedShare = MinUsedShare + this.random.next() * (1 - MinUsedShare);
        const isBatch = simClass.kind === "batch";
        this.count++;
        return {
            key: `t${this.count}`,
            simClass,
            classIndex,
            cell: this.random.below(this.profile.dataCentres.length),
            submittedAtMs: nowMs,
            usedProcessors:
                simClass.processors *
                usedShare *
                draw.logUniformFactor(this.random, isBatch ? maxSizeErrorFactor : 1),
            workSeconds: isBatch
                ? simClass.meanRunSeconds *
                  draw.logNormal(this.random, 0.5) *
                  draw.logUniformFactor(this.random, maxSizeErrorFactor)
                : Infinity,
            doneSeconds: 0,
            checkpointSeconds: 0,
            processorShare: 1,
        };
    }
}
