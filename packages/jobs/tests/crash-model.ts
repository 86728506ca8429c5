import { ManualClock } from "@samphireward/core/manual-clock";
import { Resources } from "@samphireward/core/resources";
import { SeededRandom } from "@samphireward/core/seeded-random";
import { CellScheduler } from "../src/cell-scheduler.js";
import type { JobProgress } from "../src/job-progress.js";
import type { JobSpec } from "../src/job-spec.js";
import { JobState } from "../src/job-state.js";
import type { Order } from "../src/order.js";
import { OrderKind } from "../src/order-kind.js";
import { readProgress } from "../src/read-progress.js";
import { StartOutcome } from "../src/start-outcome.js";
import type { StepSpec } from "../src/step-spec.js";
import { unstoredTrials } from "../src/unstored-trials.js";
import type { CrashDay } from "./crash-day.js";
import { CrashModelGangs } from "./crash-model-gangs.js";
import { CrashModelLinks } from "./crash-model-links.js";
import { CrashModelFaults } from "./crash-model-faults.js";
import { CrashModelWorker } from "./crash-model-worker.js";
import { cellLimits } from "./fixtures/cell-limits.js";
import { plainStep } from "./fixtures/plain-step.js";
import { queueRule } from "./fixtures/queue-rule.js";

const WorkerCount = 24;
const TickMs = 100;
const JobIntervalMs = 400;
const ArrivalMs = 12_000;
const DayMs = 90_000;
const RestartMs = 3_200;
const ReadIntervalMs = 700;
const TaskMs = 800;
/** Crashes after which a task must not be started `MaxLaterStarts` times more. */
const MaxCrashes = 3;
const MaxLaterStarts = 3;

/** Plays a seeded day on which tasks crash their workers, and counts the crashes of each task across owners. */
export class CrashModel {
    readonly violations: string[] = [];
    /** Crashes by task name. */
    readonly crashes = new Map<string, number>();
    /** Changes of suspicion, with the time of the day in milliseconds, the task and the worker, across owners. */
    readonly suspicions: string[] = [];
    private readonly clock = ManualClock.create(1_000_000);
    private readonly startMs = this.clock.nowMs();
    private readonly random: SeededRandom;
    private readonly faults: CrashModelFaults;
    private readonly workers: CrashModelWorker[] = [];
    private readonly restarts = new Map<number, number>();
    private readonly laterStarts = new Map<string, number>();
    private readonly specs: JobSpec[] = [];
    private readonly gangs = CrashModelGangs.create();
    private readonly deadlyJobs = new Set<string>();
    private readonly stored = new Map<string, string>();
    private roster: readonly string[] = [];
    private epoch = 0;
    private idCount = 0;
    private scheduler: CellScheduler;
    private links: CrashModelLinks;

    private constructor(
        seed: number,
        private readonly day: CrashDay,
    ) {
        this.random = SeededRandom.create(seed);
        for (let index = 0; index < WorkerCount; index++) {
            this.workers.push(CrashModelWorker.create(`w${this.idCount++}`, index, this.clock.wallMs()));
        }
        this.faults = CrashModelFaults.create(day, this.random);
        this.scheduler = this.takeOver();
        this.links = this.connect();
    }

    static create(seed: number, day: CrashDay): CrashModel {
        return new CrashModel(seed, day);
    }

    run(): this {
        const { rackLostAtMs, cutAtMs, takeOvers = 0, durationMs = DayMs } = this.day;
        const { faultsEndMs = ArrivalMs * 2 } = this.day;
        for (let at = 0; at < durationMs; at += TickMs) {
            if (at % JobIntervalMs === 0 && at < ArrivalMs) {
                this.submit();
            }
            if (at === rackLostAtMs) {
                const rack = this.workers[0]?.entry.rack;
                this.workers.filter(({ entry }) => entry.rack === rack).forEach(each => this.crash(each));
            }
            if (at === cutAtMs) {
                const cutOff = this.workers.filter((_, index) => index % 3 === 0);
                cutOff.forEach(each => (each.cutUntilMs = this.clock.nowMs() + 9_000));
            }
            this.injectFaults(at);
            if (at < faultsEndMs && this.random.next() < takeOvers) {
                this.scheduler = this.takeOver();
                this.links = this.connect();
            }
            this.tick(at);
        }
        this.checkStates();
        return this;
    }

    private injectFaults(at: number): void {
        const nowMs = this.clock.nowMs();
        const { losses } = this.day;
        for (const worker of this.faults.crashesAt(at, this.workers)) {
            worker.isDark = losses?.isDark === true;
            this.crash(worker, losses?.downMs);
        }
        this.faults.cutAt(at, nowMs, this.workers);
        for (const { worker, downMs } of this.faults.takeHiddenCrashes(nowMs)) {
            worker.isDark = true;
            this.crash(worker, downMs);
        }
    }

    private checkStates(): void {
        for (const { id, steps } of this.specs) {
            const state = this.scheduler.jobs.get(id)?.endState;
            const isLasting = steps.some(step => step.lasting);
            const expected = this.deadlyJobs.has(id)
                ? JobState.Failed
                : isLasting
                  ? undefined
                  : JobState.Completed;
            if (state !== expected) {
                const kind = this.deadlyJobs.has(id) ? "deadly" : "sound";
                const changes = this.suspicions.filter(line => line.includes(` ${id}.`)).slice(-4);
                const found = `job ${id} is ${state ?? "open"}, expected ${expected ?? "open"}`;
                this.violations.push(`${kind} ${found} (${changes.join(", ")})`);
            }
            const runs = this.workers.flatMap(worker =>
                [...worker.runs.keys()].filter(task => task.startsWith(`${id}.`)),
            );
            if (isLasting && expected === undefined && runs.length !== steps[0]?.count) {
                this.violations.push(`${runs.length} tasks of lasting job ${id} run`);
            }
        }
    }

    private submit(): void {
        const index = this.specs.length;
        const id = `a${index}`;
        const resources = Resources.create({ processors: 1, memoryMb: 1 });
        const kind: Partial<StepSpec> = index % 5 === 4 ? { gang: true } : { lasting: index % 7 === 6 };
        const step = { ...plainStep, count: 4, resources, estimatedMs: TaskMs, ...kind };
        const spec = {
            id,
            queue: "queue",
            payload: "",
            steps: [step],
            schedule: undefined,
            arrivedAtMs: this.clock.wallMs(),
        };
        if (this.random.next() < this.day.deadlyShare) {
            this.deadlyJobs.add(id);
        }
        this.specs.push(spec);
        this.scheduler.addJob(spec);
    }

    private takeOver(): CellScheduler {
        this.epoch++;
        const scheduler = CellScheduler.create(this.epoch, this.clock, cellLimits, {
            onSuspicion: ({ name }, workerKey, change) => {
                this.suspicions.push(`${this.clock.nowMs() - this.startMs} ${name} ${workerKey} ${change}`);
            },
        });
        scheduler.setQueues([queueRule("queue")]);
        for (const spec of this.specs) {
            const text = this.stored.get(spec.id);
            scheduler.inheritJob(spec, text === undefined ? undefined : this.restore(text));
        }
        scheduler.expectInheritedWorkers(this.roster);
        return scheduler;
    }

    private connect(): CrashModelLinks {
        return CrashModelLinks.create(this.scheduler, this.day.hasRealHeartbeats === true);
    }

    private restore(text: string): JobProgress {
        const { forgets = [] } = this.day;
        return JSON.parse(text, (key, value: unknown) =>
            forgets.includes(key) ? undefined : value,
        ) as JobProgress;
    }

    private tick(at: number): void {
        this.clock.advance(TickMs);
        const nowMs = this.clock.nowMs();
        this.restartWorkers();
        const lapsed = this.workers.flatMap(worker => (worker.isUp ? worker.advance(nowMs) : []));
        lapsed.forEach(({ task, number }) => this.gangs.break(task, number, this.workers));
        this.gangs.endWaits(nowMs, this.workers);
        if (at % ReadIntervalMs === 0 || this.scheduler.fleet.size === 0) {
            this.readRegistrations();
        }
        this.links.heartbeats(this.workers, nowMs);
        if (this.random.next() < 0.7) {
            this.commit();
        }
        this.scheduler.plan().forEach(order => this.send(order));
        this.roster = this.scheduler.workerKeysToRead;
    }

    private restartWorkers(): void {
        this.workers.forEach((worker, index) => {
            const restartAtMs = this.restarts.get(index);
            if (restartAtMs !== undefined && restartAtMs <= this.clock.nowMs()) {
                this.restarts.delete(index);
                const id = this.day.keepsIds === true ? worker.entry.id : `w${this.idCount++}`;
                this.workers[index] = CrashModelWorker.create(id, index, this.clock.wallMs());
            }
        });
    }

    private readRegistrations(): void {
        const up = this.workers.filter(worker => worker.isUp);
        const ids = new Set(up.map(({ entry }) => entry.id));
        up.forEach(({ entry }) => this.scheduler.registerWorker(entry));
        for (const { entry } of [...this.scheduler.fleet.workers]) {
            if (!ids.has(entry.id)) {
                this.scheduler.deregisterWorker(entry.id);
            }
        }
    }

    /** Stores the changed jobs, and marks the ends that they cover as durable. */
    private commit(): void {
        for (const job of this.scheduler.jobs.takeChanged()) {
            this.stored.set(job.spec.id, JSON.stringify(readProgress(job)));
            unstoredTrials(job).forEach(trial => (trial.isStored = true));
            job.storedEndState = job.endState;
        }
        for (const incarnation of this.scheduler.fleet.workers) {
            incarnation.lastDurableEndSequence = incarnation.lastReadEndSequence;
        }
    }

    private send(order: Order): void {
        const nowMs = this.clock.nowMs();
        const worker = this.workers.find(({ key }) => key === order.worker.key);
        const isReached = worker?.answers(nowMs) === true;
        if (order.kind === OrderKind.Stop && isReached) {
            worker.stop(order.task, order.number);
            this.scheduler.responses.recordStop(order.worker, order.task, order.number);
        }
        if (order.kind !== OrderKind.Start) {
            return;
        }
        this.scheduler.noteLeaseExtension(order.worker);
        const { task, number } = order.run;
        if (isReached) {
            const { gang, lasting } = task.step.spec;
            const endsAtMs = nowMs + TaskMs;
            const run = { task: task.name, number, endsAtMs: lasting || gang ? Infinity : endsAtMs };
            worker.start(run, nowMs + cellLimits.leaseMs);
            this.checkStart(task.name);
            this.gangs.noteStart(order.run, endsAtMs, this.workers);
        }
        const isDeadly = task.index === 0 && this.deadlyJobs.has(task.step.occurrence.job.spec.id);
        if (isDeadly && isReached) {
            this.crashes.set(task.name, (this.crashes.get(task.name) ?? 0) + 1);
            this.crash(worker);
        }
        const isAnswered = isReached && !(isDeadly && this.random.next() < 0.3);
        const outcome = isAnswered ? StartOutcome.Started : StartOutcome.Unknown;
        this.scheduler.responses.recordStart(order.run, outcome);
    }

    private checkStart(task: string): void {
        if ((this.crashes.get(task) ?? 0) < MaxCrashes) {
            return;
        }
        const count = (this.laterStarts.get(task) ?? 0) + 1;
        this.laterStarts.set(task, count);
        if (count === MaxLaterStarts) {
            this.violations.push(`${task} starts ${count} times more after ${MaxCrashes} crashes`);
        }
    }

    private crash(worker: CrashModelWorker, downMs = RestartMs): void {
        const runs = [...worker.runs.values()];
        worker.isUp = false;
        worker.runs.clear();
        runs.forEach(({ task, number }) => this.gangs.break(task, number, this.workers));
        this.restarts.set(this.workers.indexOf(worker), this.clock.nowMs() + downMs);
    }
}
