import { mock } from "node:test";
import { ManualClock } from "@samphireward/core/manual-clock";
import { SeededRandom } from "@samphireward/core/seeded-random";
import { cellLimits } from "@samphireward/jobs/fixtures/cell-limits";
import { queueRule } from "@samphireward/jobs/fixtures/queue-rule";
import { JobEndReason } from "@samphireward/jobs/job-end-reason";
import type { WorkerEntry } from "@samphireward/jobs/worker-entry";
import { JobState } from "@samphireward/jobs/job-state";
import { cellKeys } from "../src/cell-keys.js";
import { CellOwner } from "../src/cell-owner.js";
import { CommitLog } from "../src/commit-log.js";
import { CutOffStore } from "./cut-off-store.js";
import { jobCodec } from "../src/job-codec.js";
import { Metrics } from "../src/metrics.js";
import { OwnershipProof } from "../src/ownership-proof.js";
import { rosterCodec } from "../src/roster-codec.js";
import { runInBackground } from "../src/run-in-background.js";
import { LeaseModelClient } from "./lease-model-client.js";
import { LeaseModelNetwork } from "./lease-model-network.js";
import { LeaseModelWorker } from "./lease-model-worker.js";
import { ModelEvacuations } from "./model-evacuations.js";
import { NoPermits } from "./no-permits.js";
import { NullLog } from "./null-log.js";
import { oneTaskJob } from "./one-task-job.js";
import { oneWorker } from "./one-worker.js";
import type { OwnerDisruption } from "./owner-disruption.js";
import { OwnerModelStore } from "./owner-model-store.js";
import type { OwnerSchedule } from "./owner-schedule.js";

const Cell = 0;
const TickMs = 10;
const WorkerCount = 3;
const FaultyMs = 25_000;
const CalmMs = 150_000;
/** Time after which a process that is stopped is killed. */
const GraceMs = 6_000;
const JobIntervalMs = 1_500;
const TasksPerJob = 4;
const LongestTaskMs = 7_000;
const PollIntervalMs = 700;
const CheckIntervalMs = 500;
/** Longest time after a request to evacuate a data centre for which starts may still be ordered there. */
const EvacuationMs = 5_000;
/** Estimate with which runs have so much left that they move out of an evacuated data centre. */
const MovableTaskMs = 20_000;

/** An owner of the cell, and its access to the store. */
interface ModelOwner {
    readonly cell: CellOwner;
    readonly abort: AbortController;
    readonly store: CutOffStore;
    readonly proof: OwnershipProof;
}

/** Deliberate defects, which the checker has to detect. */
interface OwnerDefects {
    /** Each owner finds a roster by which the leases of all workers are over. */
    readonly endsLeases?: boolean;
    /** An owner that is cut off from the store goes on as if it knew that there is no other owner. */
    readonly extendsWithoutProof?: boolean;
    /** It sees the jobs that are stored after a takeover. */
    readonly seesLaterJobs?: boolean;
    /** Each owner but the first one does not read the requests to evacuate data centres. */
    readonly ignoresEvacuations?: boolean;
}

/**
 * Runs owners of one cell, one after the other, against workers with slow clocks and a store, over calls that are slow,
 * lost or carried out late, and checks at the workers that no task runs twice and no worker is over its capacity. Each
 * worker is in a data centre of its own, named after it, and no start is ordered there while it is evacuated.
 */
export class OwnerModel {
    readonly violations: string[] = [];
    private nowMs = 0;
    private readonly clock = ManualClock.create(1_000_000);
    private readonly random: SeededRandom;
    private readonly network: LeaseModelNetwork;
    private readonly store: OwnerModelStore;
    private readonly workers: LeaseModelWorker[];
    /** Tasks with an end as done that was acknowledged before the lease ran out. */
    private readonly noted = new Set<string>();
    /** Tasks that started again after an end as done, by that end. */
    private readonly restarted = new Map<object, string>();
    private readonly doneEnds = new Map<string, { hasLapsed: boolean }[]>();
    private readonly handled = new Set<OwnerDisruption>();
    private owner: ModelOwner | undefined;
    /** An owner that goes on although the next one has claimed the cell. */
    private previousOwner: ModelOwner | undefined;
    private claimAtMs = 0;
    /** Since when data centres are evacuated. */
    private readonly evacuatedSinceMs = new Map<string, number>();
    private jobCount = 0;

    private constructor(
        private readonly schedule: OwnerSchedule,
        private readonly defects: OwnerDefects,
    ) {
        this.random = SeededRandom.create(schedule.seed);
        this.network = LeaseModelNetwork.create(this.random, schedule.faultRate);
        this.store = OwnerModelStore.create(this.random, schedule.faultRate);
        this.workers = Array.from({ length: WorkerCount }, (_, index) => this.createWorker(`w${index}`));
    }

    static create(schedule: OwnerSchedule, defects: OwnerDefects = {}): OwnerModel {
        return new OwnerModel(schedule, defects);
    }

    /** Runs the schedule and returns the violations. */
    async run(): Promise<readonly string[]> {
        mock.timers.enable({ apis: ["setTimeout"] });
        try {
            while (this.nowMs < FaultyMs + CalmMs && this.violations.length === 0 && !this.isDone()) {
                await this.tick();
            }
            this.checkJobs();
        } finally {
            this.endOwner();
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
        if (this.workerOf(id).runs.size >= oneWorker.capacity.processors) {
            this.report(`${id} is over its capacity`);
        }
        if (this.noted.has(task)) {
            this.report(`${task} starts on ${id} after its end was acknowledged`);
        }
        this.doneEnds.get(task)?.forEach(end => this.restarted.set(end, task));
    }

    private checkOrder(id: string, task: string): void {
        const sinceMs = this.evacuatedSinceMs.get(id);
        if (sinceMs !== undefined && this.nowMs - sinceMs > EvacuationMs) {
            this.report(`${task} is started on ${id}, which is evacuated`);
        }
    }

    private updateEvacuations(): void {
        this.workers.forEach(({ id }, index) => {
            if (!this.isDisrupted("evacuate", index)) {
                this.evacuatedSinceMs.delete(id);
                this.store.remove(ModelEvacuations.keyOf(id));
            } else if (!this.evacuatedSinceMs.has(id)) {
                this.evacuatedSinceMs.set(id, this.nowMs);
                this.store.put(ModelEvacuations.keyOf(id), "{}");
            }
        });
    }

    private async tick(): Promise<void> {
        this.nowMs += TickMs;
        this.applyDisruptions();
        this.workers.forEach(worker => worker.advance(this.nowMs));
        this.network.deliver(this.nowMs);
        this.clock.advance(TickMs);
        mock.timers.tick(TickMs);
        this.network.deliverResponses();
        await new Promise(resolve => setImmediate(resolve));
        if (this.owner === undefined && this.nowMs >= this.claimAtMs && !this.store.isDown) {
            this.startOwner();
        }
        if (this.nowMs < FaultyMs && this.nowMs % JobIntervalMs === 0) {
            this.submitJob();
        }
        this.reportJobs();
        this.proveOwnership();
        if (this.nowMs % PollIntervalMs === 0) {
            this.registrations().forEach(entry => this.owner?.cell.registerWorker(entry));
        }
    }

    private startOwner(): void {
        const { clock } = this;
        const { epoch, revision } = this.store.claim(Cell);
        const store = CutOffStore.create(this.store);
        if (this.defects.endsLeases === true) {
            this.endStoredLeases(epoch);
        }
        const abort = new AbortController();
        const proof = OwnershipProof.create(clock.nowMs());
        const isCutOff = (id: string): boolean => this.isCutFromNextOwner(id) && this.owner?.cell === cell;
        const cell = CellOwner.create({
            cell: Cell,
            cellCount: () => 1,
            epoch,
            store,
            commits: CommitLog.create(store, Cell, { epoch, sequence: 0 }, revision, abort.signal),
            createWorkerClient: ({ id, startedAtMs }) =>
                LeaseModelClient.create(
                    this.workerOf(id),
                    this.network,
                    startedAtMs - 1,
                    () => isCutOff(id),
                    run => this.checkOrder(id, run.task.name),
                ),
            proof,
            permits: NoPermits.create(),
            evacuations: this.hasEvacuations
                ? ModelEvacuations.create(store, this.defects.ignoresEvacuations === true && epoch > 1)
                : undefined,
            clock,
            log: NullLog.create(),
            metrics: Metrics.create(),
            limits: cellLimits,
            onLost: reason => {
                if (this.owner?.abort === abort) {
                    this.report(`the owner gives up: ${reason}`);
                }
                if (store.isCut) {
                    cell.halt();
                    abort.abort();
                }
            },
        });
        this.owner = { cell, abort, store, proof };
        const started = cell.start(
            () => [queueRule("queue")],
            () => Promise.resolve(this.registrations()),
        );
        runInBackground("owner", started, NullLog.create());
    }

    private endStoredLeases(epoch: number): void {
        const key = cellKeys.roster(Cell);
        const item = this.store.item(key);
        if (item !== undefined) {
            const roster = rosterCodec.decode(item.value);
            const leasesMs = new Map(roster.lives.map(worker => [worker, 1]));
            this.store.put(key, rosterCodec.encode({ ...roster, leasesMs, epoch: epoch - 1 }));
        }
    }

    /**
     * Checks, as renewals and the other processes do, that there is no other owner. An owner that is cut off from the store
     * gets the last responses just after the next one has claimed the cell.
     */
    private proveOwnership(): void {
        if (this.nowMs % CheckIntervalMs === 0) {
            this.owner?.proof.note(this.clock.nowMs());
        }
        if (this.defects.extendsWithoutProof === true) {
            this.previousOwner?.proof.note(this.clock.nowMs());
        }
    }

    private endOwner(): void {
        this.owner?.cell.halt();
        this.owner?.abort.abort();
        this.owner = undefined;
    }

    private registrations(): WorkerEntry[] {
        const staleMs = this.isDisrupted("stale-registrations") ? 3_000 : 0;
        return this.workers.map(worker => ({
            ...oneWorker,
            id: worker.id,
            zone: worker.id,
            startedAtMs: worker.startedAtAsOf(this.nowMs - staleMs) + 1,
        }));
    }

    private submitJob(): void {
        const id = (++this.jobCount).toString(16).padStart(16, "0");
        const [step] = oneTaskJob.steps;
        if (step !== undefined) {
            const movable = this.hasEvacuations ? { checkpoints: true, estimatedMs: MovableTaskMs } : {};
            const steps = [{ ...step, ...movable, count: TasksPerJob }];
            const payload = `${Math.ceil(this.random.next() * LongestTaskMs)}`;
            const text = jobCodec.encodeJob({
                ...oneTaskJob,
                id,
                steps,
                payload,
                arrivedAtMs: this.clock.wallMs(),
            });
            this.store.put(cellKeys.job(Cell, id), text);
        }
    }

    /** What the owner's watch of the store would report. */
    private reportJobs(): void {
        const cell = this.owner?.cell;
        this.reportJobsTo(cell);
        if (this.defects.seesLaterJobs === true) {
            this.reportJobsTo(this.previousOwner?.cell);
        }
    }

    private reportJobsTo(cell: CellOwner | undefined): void {
        if (cell?.isReady === true) {
            const ids = this.jobIds().filter(id => cell.scheduler.jobs.get(id) === undefined);
            ids.forEach(id => cell.jobAccepted(this.store.item(cellKeys.job(Cell, id))?.value ?? ""));
        }
    }

    /** Whether the owner that has claimed the cell last has no path to a worker, although others have one. */
    private isCutFromNextOwner(id: string): boolean {
        return this.isDisrupted(
            "cut-from-next",
            this.workers.findIndex(worker => worker.id === id),
        );
    }

    private get hasEvacuations(): boolean {
        return this.schedule.disruptions.some(({ kind }) => kind === "evacuate");
    }

    private isDisrupted(kind: OwnerDisruption["kind"], worker?: number): boolean {
        return this.schedule.disruptions.some(
            each =>
                each.kind === kind &&
                (worker === undefined || each.worker === worker) &&
                each.atMs <= this.nowMs &&
                this.nowMs < each.atMs + each.durationMs,
        );
    }

    private applyDisruptions(): void {
        this.updateEvacuations();
        this.store.isDown = this.isDisrupted("store-down");
        this.workers.forEach((worker, index) => {
            this.network.setCut(worker, this.isDisrupted("cut", index));
            const isDown = this.isDisrupted("restart", index);
            if (isDown && worker.isUp) {
                worker.shutDown(this.nowMs);
            } else if (!isDown && !worker.isUp) {
                worker.startUp(this.nowMs);
            }
        });
        for (const disruption of this.schedule.disruptions) {
            const { kind, atMs, durationMs } = disruption;
            const isDue = atMs <= this.nowMs && !this.handled.has(disruption);
            if (isDue && (kind === "kill" || kind === "stop")) {
                this.handled.add(disruption);
                this.replaceOwner(kind === "stop", durationMs);
            } else if (isDue && kind === "overlap") {
                this.handled.add(disruption);
                this.overlapOwners(durationMs);
            }
        }
    }

    /** The owner loses the store and goes on for that time at most, while the next one has claimed the cell. */
    private overlapOwners(durationMs: number): void {
        const { owner } = this;
        if (owner?.cell.isReady !== true) {
            return;
        }
        owner.store.isCut = true;
        this.previousOwner = owner;
        this.owner = undefined;
        this.claimAtMs = this.nowMs;
        setTimeout(() => {
            owner.cell.halt();
            owner.abort.abort();
            this.previousOwner = this.previousOwner === owner ? undefined : this.previousOwner;
        }, durationMs);
    }

    /** The next owner claims the cell `delayMs` after this one has released it or has been killed. */
    private replaceOwner(isPlanned: boolean, delayMs: number): void {
        const { owner } = this;
        if (owner === undefined) {
            return;
        }
        this.owner = undefined;
        this.claimAtMs = this.nowMs + (isPlanned ? GraceMs : 0) + delayMs;
        if (isPlanned) {
            runInBackground(
                "stop",
                owner.cell.stop().then(() => {
                    owner.abort.abort();
                    this.claimAtMs = Math.min(this.claimAtMs, this.nowMs + delayMs);
                }),
                NullLog.create(),
            );
            setTimeout(() => {
                owner.cell.halt();
                owner.abort.abort();
            }, GraceMs);
        } else {
            owner.cell.halt();
            owner.abort.abort();
        }
    }

    private jobIds(): string[] {
        return Array.from({ length: this.jobCount }, (_, index) =>
            (index + 1).toString(16).padStart(16, "0"),
        );
    }

    private isDone(): boolean {
        return this.nowMs > FaultyMs && this.unfinished().length === 0;
    }

    private unfinished(): string[] {
        const jobs = this.owner?.cell.scheduler.jobs;
        return this.jobIds().filter(id => {
            const job = jobs?.get(id);
            const isGivenUp =
                job?.endState === JobState.Failed && job.endReason === JobEndReason.WorkerCrashes;
            return job?.endState !== JobState.Completed && !isGivenUp;
        });
    }

    private checkJobs(): void {
        const [id] = this.unfinished();
        if (id !== undefined && this.violations.length === 0) {
            this.report(`job ${id} has not ended`);
        }
    }
}
