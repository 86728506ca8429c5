import { LatencyRecorder } from "@samphireward/core/latency-recorder";
import type { RandomSource } from "@samphireward/core/random-source";
import { SeededRandom } from "@samphireward/core/seeded-random";
import type { EvictionSettings } from "@samphireward/placement/eviction-settings";
import { benchPolicies } from "./bench-policies.js";
import { draw } from "./draw.js";
import { TrueInterference } from "./true-interference.js";
import { requestSigma } from "./request-sigma.js";
import type { RunResult } from "./run-result.js";
import type { Scenario } from "./scenario.js";
import { SimCell } from "./sim-cell.js";
import { SimWorker } from "./sim-worker.js";
import { SimReports } from "./sim-reports.js";
import { TaskGenerator } from "./task-generator.js";
import type { UserProfile } from "./user-profile.js";

const RunSeconds = 900;
/** Not measured, since the cells fill up and the policies learn in this time. */
const WarmUpSeconds = 180;
const CheckpointIntervalSeconds = 30;
const SampledRequestsPerSecond = 4;
/** Distance between the seeds of different runs, so that no two random streams coincide. */
const SeedStride = 7919;

/** One seeded run of a policy in simulated time, in steps of one second. */
export class Simulation {
    private readonly interference: TrueInterference;
    private readonly cells: SimCell[];
    private readonly workers: SimWorker[];
    private readonly generator: TaskGenerator;
    private readonly latencies = LatencyRecorder.create();
    private readonly reports: SimReports;
    private readonly shiftRandom: RandomSource;
    private readonly requestRandom: RandomSource;
    private doneProcessorSeconds = 0;
    private queuedTaskSeconds = 0;
    private evictionsBefore = 0;
    private urgentEvictionsBefore = 0;
    private throttlesBefore = 0;

    private constructor(
        private readonly profile: UserProfile,
        private readonly scenario: Scenario,
        policyName: string,
        seed: number,
        eviction: Partial<EvictionSettings>,
    ) {
        // Separate generators, so that the decisions of a policy do not change the events of its run.
        const randomFor = (stream: number): RandomSource => SeededRandom.create(seed * SeedStride + stream);
        this.shiftRandom = randomFor(2);
        this.requestRandom = randomFor(3);
        this.reports = SimReports.create(profile, scenario.reportLagSeconds, randomFor(4));
        this.interference = TrueInterference.create(profile.classes, randomFor(0));
        this.generator = TaskGenerator.create(profile, scenario, randomFor(1));
        const perCell = profile.workerCount / profile.dataCentres.length;
        this.workers = Array.from({ length: profile.workerCount }, (_, index) => {
            const cell = Math.floor(index / perCell);
            const rack = Math.floor((index % perCell) / profile.workersPerRack);
            return SimWorker.create(`w${index}`, `${profile.dataCentres[cell]}-r${rack}`, cell, profile);
        });
        const create = benchPolicies[policyName];
        if (create === undefined) {
            throw new RangeError(`unknown policy "${policyName}"`);
        }
        this.cells = profile.dataCentres.map((_, cell) => {
            const workers = this.workers.filter(worker => worker.cell === cell);
            return SimCell.create(
                workers,
                create(profile, this.interference),
                profile.maxPlacementDelaySeconds,
                eviction,
            );
        });
    }

    static run(
        profile: UserProfile,
        scenario: Scenario,
        policyName: string,
        seed: number,
        eviction: Partial<EvictionSettings> = {},
    ): RunResult {
        return new Simulation(profile, scenario, policyName, seed, eviction).run();
    }

    private run(): RunResult {
        this.generator.watches().forEach(task => this.cells[task.cell]?.submit(task));
        for (let second = 0; second < RunSeconds; second++) {
            if (second === WarmUpSeconds) {
                this.startMeasuring();
            }
            this.applyEvents(second);
            const isEventActive = this.isEventActive(second);
            this.generator
                .arrivals(second * 1000, isEventActive)
                .forEach(task => this.cells[task.cell]?.submit(task));
            for (const { worker, sample, pressure } of this.reports.takeArrived(second)) {
                this.cells[worker.cell]?.handleReport(worker, sample, pressure, second * 1000);
            }
            this.cells.forEach(cell => cell.place(second * 1000));
            this.stepWorkers(second);
        }
        const seconds = RunSeconds - WarmUpSeconds;
        return {
            p99Ms: this.latencies.percentileMs(99),
            p999Ms: this.latencies.percentileMs(99.9),
            throughput: this.doneProcessorSeconds / seconds,
            evictions: this.sum(cell => cell.evictions) - this.evictionsBefore,
            urgentEvictions: this.sum(cell => cell.urgentEvictions) - this.urgentEvictionsBefore,
            throttles: this.sum(cell => cell.throttles) - this.throttlesBefore,
            longestWaitSeconds: Math.max(...this.cells.map(cell => cell.longestWaitMs)) / 1000,
            meanQueue: this.queuedTaskSeconds / seconds,
        };
    }

    private startMeasuring(): void {
        this.doneProcessorSeconds = 0;
        this.queuedTaskSeconds = 0;
        this.cells.forEach(cell => cell.takeLostProcessorSeconds());
        this.evictionsBefore = this.sum(cell => cell.evictions);
        this.urgentEvictionsBefore = this.sum(cell => cell.urgentEvictions);
        this.throttlesBefore = this.sum(cell => cell.throttles);
    }

    private isEventActive(second: number): boolean {
        const share = second / RunSeconds;
        return share >= this.scenario.eventStartShare && share < this.scenario.eventEndShare;
    }

    private applyEvents(second: number): void {
        const { scenario } = this;
        if (second === Math.round(scenario.eventStartShare * RunSeconds)) {
            if (scenario.redrawsEffects) {
                this.interference.redrawEffects(this.shiftRandom);
            }
            this.lostWorkers().forEach(worker => this.cells[worker.cell]?.failWorker(worker, second * 1000));
            this.cancelShare(scenario.cancelledShare, second * 1000);
        }
        if (second === Math.round(scenario.eventEndShare * RunSeconds)) {
            this.lostWorkers().forEach(worker => worker.setAlive(true));
        }
    }

    private lostWorkers(): SimWorker[] {
        const first = this.workers[0];
        const isLost = {
            nothing: () => false,
            rack: (worker: SimWorker) => worker.rack === first?.rack,
            "data-centre": (worker: SimWorker) => worker.cell === first?.cell,
        }[this.scenario.lostFailureDomain];
        return this.workers.filter(isLost);
    }

    private cancelShare(share: number, nowMs: number): void {
        const isCancelled = (key: string): boolean => Number(key.slice(1)) % 100 < share * 100;
        for (const cell of this.cells) {
            for (const { key } of cell.waitingTasks().filter(task => isCancelled(task.key))) {
                cell.cancelWaiting(key);
            }
            for (const worker of cell.workers) {
                const tasks = [...worker.tasks].filter(({ simClass }) => simClass.kind === "batch");
                tasks.filter(task => isCancelled(task.key)).forEach(task => cell.end(worker, task, nowMs));
            }
        }
    }

    private stepWorkers(second: number): void {
        const { meanRequestMs, slotUtilization, workerCount } = this.profile;
        const requestRateFactor =
            second / RunSeconds >= this.scenario.eventStartShare ? this.scenario.requestRateFactor : 1;
        const alive = this.workers.filter(worker => worker.alive);
        const rate = ((8 * slotUtilization * 1000) / meanRequestMs) * requestRateFactor * workerCount;
        const weights = alive.map(worker => 1 / (worker.slowdowns[0] ?? 1));
        const weightSum = weights.reduce((sum, weight) => sum + weight, 0);
        for (const [index, worker] of alive.entries()) {
            // Requests are distributed by free slots, so a slow worker gets fewer.
            worker.step((rate * (weights[index] ?? 0)) / weightSum, this.interference);
            if (second >= WarmUpSeconds) {
                this.recordRequests(worker);
            }
            this.runTasks(worker, second);
            this.reports.send(worker, second);
        }
        this.queuedTaskSeconds += this.sum(cell => cell.queue.size);
        this.doneProcessorSeconds -= this.sum(cell => cell.takeLostProcessorSeconds());
    }

    private recordRequests(worker: SimWorker): void {
        const mean = this.profile.meanRequestMs * (worker.slowdowns[0] ?? 1);
        for (let count = 0; count < SampledRequestsPerSecond; count++) {
            const wait = worker.meanSlotWaitMs * draw.exponential(this.requestRandom);
            this.latencies.record(mean * draw.logNormal(this.requestRandom, requestSigma) + wait);
        }
    }

    private runTasks(worker: SimWorker, second: number): void {
        for (const task of [...worker.tasks]) {
            const progress = task.processorShare / (worker.slowdowns[task.classIndex] ?? 1);
            task.doneSeconds += progress;
            if (task.doneSeconds - task.checkpointSeconds >= CheckpointIntervalSeconds) {
                task.checkpointSeconds = task.doneSeconds;
            }
            if (task.simClass.kind === "batch") {
                this.doneProcessorSeconds += progress * task.simClass.processors;
            }
            if (task.doneSeconds >= task.workSeconds) {
                this.cells[worker.cell]?.end(worker, task, second * 1000);
            }
        }
    }

    private sum(value: (cell: SimCell) => number): number {
        return this.cells.reduce((total, cell) => total + value(cell), 0);
    }
}
