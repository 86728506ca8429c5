import { ManualClock } from "@samphireward/core/manual-clock";
import { Outcome } from "@samphireward/core/outcome";
import { describeCode } from "@samphireward/core/describe-code";
import type { Pool } from "@samphireward/core/pool";
import { Resources } from "@samphireward/core/resources";
import type { ResultCode } from "@samphireward/core/result-code";
import { SeededRandom } from "@samphireward/core/seeded-random";
import { WorkClass } from "@samphireward/core/work-class";
import type { WorkerInfo } from "@samphireward/core/worker-info";
import { LeastLoadedPolicy } from "@samphireward/placement/least-loaded-policy";
import type { RunningTask } from "@samphireward/standins/worker/running-task";
import type { WorkerModel } from "@samphireward/standins/worker/worker-model";
import type { Result } from "ts-results-es";
import { CellOwner } from "../../src/cell-owner.js";
import { EventQueue } from "./event-queue.js";
import { InvariantChecker } from "./invariant-checker.js";
import { Mutant } from "./mutant.js";
import { SimWorkerClient } from "./sim-worker-client.js";
import { SimLog } from "./sim-log.js";
import { SimProcess } from "./sim-process.js";
import { SimWorker } from "./sim-worker.js";

const StoreLeaseMs = 4000;
const TickIntervalMs = 100;
const DirectoryDelayMs = 1000;
const TakeoverWaitMs = 1000;
/** Rates of the workers' clocks; two are at the ends of the allowed deviation. */
const workerClockRates = [1, 0.92, 1.1, 1];

const pool = (name: string, workClass: WorkClass): [string, Pool] => [
    name,
    { name, class: workClass, team: "presses", zones: ["herning-a"], interferenceClass: name },
];
const pools = new Map([pool("cutting", WorkClass.Batch), pool("proofs", WorkClass.LatencyCritical)]);

/** Payload of a task: how long it runs, and whether it fails or crashes its worker. */
interface SimPayload {
    readonly runMs: number;
    readonly fail?: boolean;
    /** The task crashes its worker this long after each start. */
    readonly crashAfterMs?: number;
    /** Time from the crash to the restart of the worker. */
    readonly downMs?: number;
}

/** A cell with its log, workers, directory and scheduler processes under a manual clock. */
export class Simulation {
    readonly clock = ManualClock.create(1000);
    readonly events = EventQueue.create(this.clock);
    readonly random: SeededRandom;
    readonly log: SimLog;
    readonly checker: InvariantChecker;
    readonly workers: SimWorker[];
    readonly processes: SimProcess[] = [];
    readonly accepted = new Set<string>();
    readonly unknown = new Set<string>();
    /** Number of submissions of each key that may have recorded the task: all that were not refused as not run. */
    private readonly mayBeRecorded = new Map<string, number>();
    readonly cancelled = new Set<string>();
    readonly keys: string[] = [];
    private readonly payloads = new Map<string, SimPayload>();
    private cuts = new Set<string>();
    private faultRate = 0;
    private freeSinceMs = 0;

    private constructor(
        seed: number,
        readonly mutant: Mutant,
    ) {
        this.random = SeededRandom.create(seed);
        this.log = SimLog.create(this.events, this.random, () => this.faultRate, mutant);
        this.checker = InvariantChecker.create(this.log.durable, this.clock);
        this.log.onWritten = transition => this.checker.written(transition);
        this.workers = workerClockRates.map((rate, index) =>
            SimWorker.create(`w-${index}`, `r-${index}`, this.clock, rate, this.checker),
        );
        for (const worker of this.workers) {
            worker.onStarted = task => this.scheduleCrash(worker, task);
        }
        this.scheduleTick();
    }

    static create(seed: number, mutant: Mutant = Mutant.None): Simulation {
        return new Simulation(seed, mutant);
    }

    /** The process that holds the cell and runs. */
    get current(): SimProcess | undefined {
        return this.processes.find(process => process.runs && process.epoch === this.log.epoch);
    }

    setFaultRate(rate: number): void {
        this.faultRate = rate;
    }

    drawFault(): boolean {
        return this.random.next() < this.faultRate;
    }

    /** Draws a delay of 1 to 10 ms or, at the fault rate, any delay below `lateMs`. */
    drawDelay(lateMs: number): number {
        return this.drawFault() ? this.random.below(lateMs) : 1 + this.random.below(10);
    }

    isCut(process: SimProcess, worker: SimWorker): boolean {
        return this.cuts.has(`${process.epoch}|${worker.name}`) || this.cuts.has(`all|${worker.name}`);
    }

    cut(process: SimProcess | undefined, worker: SimWorker): void {
        this.cuts.add(`${process?.epoch ?? "all"}|${worker.name}`);
    }

    /** Crashes a worker, which is back after `downMs` unless it has crashed again meanwhile. */
    crash(worker: SimWorker, downMs: number): void {
        worker.die();
        const { incarnation } = worker;
        this.events.after(downMs, () => {
            worker.alive = worker.alive || worker.incarnation === incarnation;
        });
    }

    healNetwork(): void {
        this.cuts = new Set();
    }

    /** Runs a command at a worker. All workers are up to date first, so that the checker sees ends in order. */
    runAtWorker<T>(
        worker: SimWorker,
        command: (model: WorkerModel) => Result<T, ResultCode>,
    ): Result<T, ResultCode> {
        this.workers.forEach(other => other.model.advance());
        return command(worker.model);
    }

    submit(key: string, payload: SimPayload): void {
        this.keys.push(key);
        this.payloads.set(key, payload);
        this.resubmit(key);
    }

    /** Submits a key again; the owner answers from its records when it knows the key. */
    resubmit(key: string): void {
        const owner = this.current?.owner;
        if (owner === undefined) {
            return;
        }
        const spec = {
            key,
            pool: key.endsWith("5") || key.endsWith("6") ? "proofs" : "cutting",
            resources: Resources.create({
                processors: 1 + (key.length % 2),
                memoryMb: 2000,
                accelerators: key.endsWith("7") ? 1 : 0,
            }),
            expectedRunMs: 1000,
            payload: JSON.stringify(this.payloads.get(key)),
        };
        this.mayBeRecorded.set(key, (this.mayBeRecorded.get(key) ?? 0) + 1);
        void owner.accept(spec).then(result => this.recordAnswer(key, result));
    }

    cancel(key: string): void {
        this.cancelled.add(key);
        void this.current?.owner?.cancel(key);
    }

    /** Ends all faults and runs until every task has ended or the time limit is reached. */
    async settle(): Promise<void> {
        this.faultRate = 0;
        this.healNetwork();
        this.log.heal();
        for (const worker of this.workers) {
            worker.alive = true;
            worker.listed = true;
            worker.leaving = false;
            worker.resize(4);
        }
        this.processes.filter(process => process.paused).forEach(process => process.resume());
        for (let step = 0; step < 60 && !this.isSettled(); step += 1) {
            await this.run(2000);
            [...this.unknown].forEach(key => this.resubmit(key));
            void this.openDrained();
        }
        this.checker.finish(this.accepted, this.refusedKeys(), this.cancelled);
    }

    async run(ms: number): Promise<void> {
        await this.events.runUntil(this.clock.nowMs() + ms);
    }

    private isSettled(): boolean {
        const ended = [...this.accepted].every(key => this.log.durable.ended.has(key));
        return ended && this.unknown.size === 0 && this.current !== undefined;
    }

    private async openDrained(): Promise<void> {
        for (const worker of this.log.durable.workerModes.keys()) {
            await this.current?.owner?.commandWorker(worker, "undrain");
        }
    }

    private recordAnswer(key: string, result: Awaited<ReturnType<CellOwner["accept"]>>): void {
        this.unknown.delete(key);
        if (result.isOk()) {
            this.accepted.add(key);
        } else if (describeCode(result.error.code).outcome === Outcome.NotRun) {
            this.mayBeRecorded.set(key, (this.mayBeRecorded.get(key) ?? 0) - 1);
        } else {
            this.unknown.add(key);
        }
    }

    /** Keys of which every submission was refused as not run. */
    private refusedKeys(): string[] {
        return this.keys.filter(key => this.mayBeRecorded.get(key) === 0);
    }

    private scheduleCrash(worker: SimWorker, task: RunningTask): void {
        const { crashAfterMs, downMs = 2000 } = task.payload as SimPayload;
        if (crashAfterMs === undefined) {
            return;
        }
        const { key, attempt } = task;
        this.events.after(crashAfterMs, () => {
            const runs = worker.model.tasks().some(other => other.key === key && other.attempt === attempt);
            if (runs) {
                this.checker.crashedBy(key);
                this.crash(worker, downMs);
            }
        });
    }

    private scheduleTick(): void {
        this.events.after(TickIntervalMs, () => {
            this.scheduleTick();
            this.workers.forEach(worker => worker.model.advance());
            this.processes.filter(process => process.runs).forEach(process => this.tick(process));
            this.takeOverIfFree();
        });
    }

    private tick(process: SimProcess): void {
        if (process.epoch === this.log.epoch && !this.log.stalled) {
            process.leaseUntilMs = this.clock.nowMs() + StoreLeaseMs;
        }
        process.owner?.tick();
    }

    /** A free cell is taken when the store lease of its last owner has expired, and one second has passed. */
    private takeOverIfFree(): void {
        const holder = this.processes.find(process => process.epoch === this.log.epoch);
        const nowMs = this.clock.nowMs();
        if (holder !== undefined && holder.leaseUntilMs > nowMs) {
            this.freeSinceMs = nowMs;
        } else if (!this.log.stalled && nowMs - this.freeSinceMs >= TakeoverWaitMs) {
            this.takeOver();
        }
    }

    private takeOver(): void {
        const state = this.log.takeOver();
        const process = SimProcess.create(this.log.epoch);
        process.leaseUntilMs = this.clock.nowMs() + StoreLeaseMs;
        const prematureTiming = { deliveryMs: 0, marginMs: -2500, clockRateMargin: 0 };
        process.owner = CellOwner.create({
            clock: this.clock,
            log: this.log.handle(process),
            state,
            policy: LeastLoadedPolicy.create(),
            tables: { pools, serviceReserve: Resources.none },
            createClient: info => SimWorkerClient.create(this, process, this.findWorker(info.name)),
            mayGrant: () =>
                this.mutant === Mutant.NoEpochFencing || process.leaseUntilMs > this.clock.nowMs(),
            timing: this.mutant === Mutant.EarlyReassign ? prematureTiming : {},
        });
        this.processes.push(process);
        this.refreshDirectory(process);
    }

    private refreshDirectory(process: SimProcess): void {
        const listed = this.workers.filter(worker => worker.listed).map(worker => this.listingOf(worker));
        this.events.after(DirectoryDelayMs, () => {
            process.deliver(() => process.owner?.updateWorkers(listed));
            if (process.alive) {
                this.refreshDirectory(process);
            }
        });
    }

    private listingOf(worker: SimWorker): WorkerInfo {
        const isStale = this.mutant === Mutant.StaleCapacity;
        return isStale ? { ...worker.info, capacity: worker.model.capacity } : worker.info;
    }

    private findWorker(name: string): SimWorker {
        const worker = this.workers.find(other => other.name === name);
        if (worker === undefined) {
            throw new RangeError(`no worker ${name}`);
        }
        return worker;
    }
}
