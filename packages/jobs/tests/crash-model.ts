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

/** What happens on a day of the model, beside the crashes by tasks. */
interface CrashDay {
    /** Share of the jobs whose first task crashes each worker that starts it. */
    readonly deadlyShare: number;
    /** Probability, for each tick, that another owner takes over. */
    readonly takeOvers?: number;
    /** Workers come back under the id that they had. */
    readonly keepsIds?: boolean;
    /** Time at which all workers of the first rack crash. */
    readonly rackLostAtMs?: number;
    /** Time at which a third of the workers are cut off for 9 s. */
    readonly cutAtMs?: number;
    /** Fields of the stored progress that a deliberately defective owner does not restore. */
    readonly forgets?: readonly string[];
}

/** Plays a seeded day on which tasks crash their workers, and counts the crashes of each task across owners. */
export class CrashModel {
    readonly violations: string[] = [];
    /** Crashes by task name. */
    readonly crashes = new Map<string, number>();
    private readonly clock = ManualClock.create(1_000_000);
    private readonly random: SeededRandom;
    private readonly workers: CrashModelWorker[] = [];
    private readonly restarts = new Map<number, number>();
    private readonly laterStarts = new Map<string, number>();
    private readonly specs: JobSpec[] = [];
    /** Steps and run numbers of gangs that have lost a member. */
    private readonly brokenGangs = new Set<string>();
    private readonly deadlyJobs = new Set<string>();
    private readonly stored = new Map<string, string>();
    private roster: readonly string[] = [];
    private epoch = 0;
    private idCount = 0;
    private scheduler: CellScheduler;

    private constructor(
        seed: number,
        private readonly day: CrashDay,
    ) {
        this.random = SeededRandom.create(seed);
        for (let index = 0; index < WorkerCount; index++) {
            this.workers.push(CrashModelWorker.create(`w${this.idCount++}`, index, this.clock.wallMs()));
        }
        this.scheduler = this.takeOver();
    }

    static create(seed: number, day: CrashDay): CrashModel {
        return new CrashModel(seed, day);
    }

    run(): this {
        const { rackLostAtMs, cutAtMs, takeOvers = 0 } = this.day;
        for (let at = 0; at < DayMs; at += TickMs) {
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
            if (at < ArrivalMs * 2 && this.random.next() < takeOvers) {
                this.scheduler = this.takeOver();
            }
            this.tick(at);
        }
        this.checkStates();
        return this;
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
                this.violations.push(`job ${id} is ${state ?? "open"}, expected ${expected ?? "open"}`);
            }
            const runs = this.workers.flatMap(worker =>
                [...worker.runs.keys()].filter(task => task.startsWith(id)),
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
        const scheduler = CellScheduler.create(this.epoch, this.clock, cellLimits);
        scheduler.setQueues([queueRule("queue")]);
        for (const spec of this.specs) {
            const text = this.stored.get(spec.id);
            scheduler.inheritJob(spec, text === undefined ? undefined : this.restore(text));
        }
        scheduler.expectInheritedWorkers(this.roster);
        return scheduler;
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
        this.workers.forEach(worker => worker.isUp && worker.advance(nowMs));
        if (at % ReadIntervalMs === 0 || this.scheduler.fleet.size === 0) {
            this.readRegistrations();
        }
        this.heartbeats();
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

    private heartbeats(): void {
        const nowMs = this.clock.nowMs();
        for (const incarnation of [...this.scheduler.fleet.workers]) {
            const worker = this.workers.find(({ key }) => key === incarnation.key);
            if (worker?.answers(nowMs) === true) {
                this.scheduler.noteLeaseExtension(incarnation);
                const deadlineMs = nowMs + cellLimits.leaseMs;
                const listing = worker.heartbeat(deadlineMs, incarnation.lastDurableEndSequence);
                this.scheduler.noteListing(incarnation, listing, nowMs);
            } else {
                this.scheduler.noteUnreachable(incarnation);
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
            const endsAtMs = task.step.spec.lasting ? Infinity : nowMs + TaskMs;
            worker.start({ task: task.name, number, endsAtMs }, nowMs + cellLimits.leaseMs);
            this.checkStart(task.name);
            if (this.brokenGangs.has(`${task.step.name}#${number}`)) {
                this.breakGang(task.name, number);
            }
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

    private crash(worker: CrashModelWorker): void {
        const runs = [...worker.runs.values()];
        worker.isUp = false;
        worker.runs.clear();
        runs.forEach(({ task, number }) => this.breakGang(task, number));
        this.restarts.set(this.workers.indexOf(worker), this.clock.nowMs() + RestartMs);
    }

    /** The other members of a gang end when one of them does, also those that start later. */
    private breakGang(task: string, number: number): void {
        const step = task.slice(0, task.lastIndexOf("."));
        const id = task.split(".", 1)[0] ?? "";
        if (this.specs.find(spec => spec.id === id)?.steps[0]?.gang === true) {
            this.brokenGangs.add(`${step}#${number}`);
            this.workers.forEach(worker => worker.breakGang(`${step}.`));
        }
    }
}
