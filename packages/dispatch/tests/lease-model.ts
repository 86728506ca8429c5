import { mock } from "node:test";
import { ManualClock } from "@samphireward/core/manual-clock";
import { Resources } from "@samphireward/core/resources";
import { SeededRandom } from "@samphireward/core/seeded-random";
import type { CellLimits } from "@samphireward/jobs/cell-limits";
import { CellScheduler } from "@samphireward/jobs/cell-scheduler";
import { cellLimits } from "@samphireward/jobs/fixtures/cell-limits";
import { queueRule } from "@samphireward/jobs/fixtures/queue-rule";
import { HeartbeatPause } from "../src/heartbeat-pause.js";
import { Metrics } from "../src/metrics.js";
import { unstoredTrials } from "@samphireward/jobs/unstored-trials";
import { WorkerLinks } from "../src/worker-links.js";
import { certainOwnership } from "./certain-ownership.js";
import type { LeaseDisruption } from "./lease-disruption.js";
import { LeaseModelClient } from "./lease-model-client.js";
import { LeaseModelNetwork } from "./lease-model-network.js";
import { LeaseModelWorker } from "./lease-model-worker.js";
import type { LeaseSchedule } from "./lease-schedule.js";
import { NullLog } from "./null-log.js";
import { oneTaskJob } from "./one-task-job.js";
import { oneWorker } from "./one-worker.js";

const TickMs = 10;
const WorkerCount = 3;
const DurationMs = 25_000;
const JobIntervalMs = 700;
const TasksPerJob = 4;
const LongestTaskMs = 5_000;
const PlanIntervalMs = 100;
const PollIntervalMs = 700;
const CommitIntervalMs = 80;

/**
 * Runs the links and the scheduler of one owner against workers with slow clocks, over calls that are slow, lost or
 * carried out late, and checks at the workers that no task runs twice.
 */
export class LeaseModel {
    readonly violations: string[] = [];
    private nowMs = 0;
    private readonly clock = ManualClock.create(1_000_000);
    private readonly random: SeededRandom;
    private readonly network: LeaseModelNetwork;
    private readonly workers: LeaseModelWorker[];
    private readonly scheduler: CellScheduler;
    private readonly links: WorkerLinks;
    /** Tasks with an end as done that was acknowledged before the lease ran out. */
    private readonly noted = new Set<string>();
    /** Tasks that started again after an end as done, by that end. */
    private readonly restarted = new Map<object, string>();
    private readonly doneEnds = new Map<string, { hasLapsed: boolean }[]>();
    private needsPlan = false;
    private jobCount = 0;
    private owner: "running" | "suspended" | "suspended-with-clock" = "running";
    private suspendedMs = 0;

    private constructor(
        private readonly schedule: LeaseSchedule,
        /** Limits by which the scheduler counts leases. */
        limits: CellLimits,
    ) {
        this.random = SeededRandom.create(schedule.seed);
        this.network = LeaseModelNetwork.create(this.random, schedule.faultRate);
        this.workers = Array.from({ length: WorkerCount }, (_, index) => this.createWorker(`w${index}`));
        this.scheduler = CellScheduler.create(1, this.clock, limits);
        this.scheduler.setQueues([queueRule("queue")]);
        this.scheduler.expectInheritedWorkers([]);
        this.links = WorkerLinks.create({
            epoch: 1,
            scheduler: this.scheduler,
            createWorkerClient: ({ id }) => LeaseModelClient.create(this.workerOf(id), this.network),
            proof: certainOwnership(this.clock),
            clock: this.clock,
            log: NullLog.create(),
            metrics: Metrics.create(),
            limits: cellLimits,
            heartbeatPause: HeartbeatPause.create(),
            listener: { onChange: () => (this.needsPlan = true), onFenced: () => undefined },
        });
    }

    static create(schedule: LeaseSchedule, limits = cellLimits): LeaseModel {
        return new LeaseModel(schedule, limits);
    }

    /** Runs the schedule and returns the violations. */
    async run(): Promise<readonly string[]> {
        mock.timers.enable({ apis: ["setTimeout"] });
        try {
            while (this.nowMs < DurationMs && this.violations.length === 0) {
                await this.tick();
            }
        } finally {
            this.links.close();
            mock.timers.reset();
        }
        return this.violations;
    }

    private createWorker(id: string): LeaseModelWorker {
        return LeaseModelWorker.create(id, 0, cellLimits.maxLeaseMs, {
            onStart: task => this.checkStart(id, task),
            onDone: end => this.doneEnds.set(end.task, [...(this.doneEnds.get(end.task) ?? []), end]),
            onAcknowledged: end => {
                if (end.kind !== "done" || end.hasLapsed) {
                    return;
                }
                this.noted.add(end.task);
                if (this.restarted.has(end)) {
                    this.report(`${end.task} started after an end that is acknowledged now`);
                }
            },
        });
    }

    private workerOf(id: string): LeaseModelWorker {
        const worker = this.workers.find(each => each.id === id);
        if (worker === undefined) {
            throw new Error(`Expected a worker of the model, found ${id}`);
        }
        return worker;
    }

    private report(violation: string): void {
        this.violations.push(`${this.nowMs} ms: ${violation}`);
    }

    private checkStart(id: string, task: string): void {
        for (const worker of this.workers) {
            worker.advance(this.nowMs);
            if (worker.id !== id && worker.runs.has(task)) {
                this.report(`${task} starts on ${id} and runs on ${worker.id}`);
            }
        }
        if (this.noted.has(task)) {
            this.report(`${task} starts on ${id} after its end was acknowledged`);
        }
        this.doneEnds.get(task)?.forEach(end => this.restarted.set(end, task));
    }

    private async tick(): Promise<void> {
        this.nowMs += TickMs;
        this.applyDisruptions();
        this.workers.forEach(worker => worker.advance(this.nowMs));
        this.network.deliver(this.nowMs);
        if (this.owner !== "running") {
            this.suspendedMs += TickMs;
            return;
        }
        this.clock.advance(TickMs);
        mock.timers.tick(TickMs);
        this.network.deliverResponses();
        await new Promise(resolve => setImmediate(resolve));
        this.runOwner();
    }

    private runOwner(): void {
        if (this.nowMs % JobIntervalMs === 0) {
            this.submitJob();
        }
        if (this.nowMs % PollIntervalMs === 0) {
            this.pollRegistrations();
        }
        if (this.nowMs % CommitIntervalMs === 0) {
            this.commit();
        }
        if (this.needsPlan || this.nowMs % PlanIntervalMs === 0) {
            this.plan();
        }
    }

    private plan(): void {
        this.needsPlan = false;
        this.links.sync();
        this.scheduler.plan().forEach(order => this.links.send(order));
    }

    private submitJob(): void {
        const id = (++this.jobCount).toString(16).padStart(16, "0");
        const [step] = oneTaskJob.steps;
        if (step !== undefined) {
            const steps = [{ ...step, count: TasksPerJob }];
            const payload = `${Math.ceil(this.random.next() * LongestTaskMs)}`;
            this.scheduler.addJob({ ...oneTaskJob, id, steps, payload, arrivedAtMs: this.clock.wallMs() });
        }
    }

    private pollRegistrations(): void {
        const staleMs = this.isDisrupted("stale-registrations") ? 3_000 : 0;
        for (const worker of this.workers) {
            const startedAtMs = worker.startedAtAsOf(this.nowMs - staleMs);
            this.scheduler.registerWorker({
                ...oneWorker,
                id: worker.id,
                startedAtMs: startedAtMs + 1,
                capacity: Resources.create({ processors: 16, memoryMb: 1_000 }),
            });
        }
        this.links.sync();
        this.needsPlan = true;
    }

    private commit(): void {
        for (const job of this.scheduler.jobs.takeChanged()) {
            unstoredTrials(job).forEach(trial => (trial.isStored = true));
            job.storedEndState = job.endState;
        }
        for (const worker of this.scheduler.fleet.workers) {
            worker.lastDurableEndSequence = worker.lastReadEndSequence;
        }
    }

    private isDisrupted(kind: LeaseDisruption["kind"], worker?: number): boolean {
        return this.schedule.disruptions.some(
            each =>
                each.kind === kind &&
                (worker === undefined || each.worker === worker) &&
                each.atMs <= this.nowMs &&
                this.nowMs < each.atMs + each.durationMs,
        );
    }

    private applyDisruptions(): void {
        this.workers.forEach((worker, index) => {
            this.network.setCut(worker, this.isDisrupted("cut", index));
            const isDown = this.isDisrupted("restart", index);
            if (isDown && worker.isUp) {
                worker.shutDown(this.nowMs);
            } else if (!isDown && !worker.isUp) {
                worker.startUp(this.nowMs);
            }
        });
        const before = this.owner;
        if (this.isDisrupted("suspend")) {
            this.owner = "suspended";
        } else if (this.isDisrupted("suspend-with-clock")) {
            this.owner = "suspended-with-clock";
        } else {
            this.owner = "running";
        }
        if (before !== "running" && this.owner === "running") {
            this.resume(before === "suspended");
        }
    }

    /** After a suspension, timers are due before responses are read, in either order with the next plan. */
    private resume(hasClockAdvanced: boolean): void {
        const elapsedMs = hasClockAdvanced ? this.suspendedMs : 0;
        this.suspendedMs = 0;
        this.clock.advance(elapsedMs);
        if (this.random.next() < 0.5) {
            this.plan();
        }
        mock.timers.tick(elapsedMs);
    }
}
