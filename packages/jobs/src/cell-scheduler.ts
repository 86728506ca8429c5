import type { Clock } from "@samphireward/core/clock";
import type { CellLimits } from "./cell-limits.js";
import type { CellLoad } from "./cell-load.js";
import { PreviousOwners } from "./previous-owners.js";
import type { EndObserver } from "./end-observer.js";
import { JobRegistry } from "./job-registry.js";
import type { JobProgress } from "./job-progress.js";
import type { JobSpec } from "./job-spec.js";
import { JobState } from "./job-state.js";
import { ListingReader } from "./listing-reader.js";
import { maxLeaseDurationMs } from "./max-lease-duration-ms.js";
import { NeighbourEffects } from "./neighbour-effects.js";
import { markMigrations } from "./mark-migrations.js";
import { OrderResponses } from "./order-responses.js";
import type { Order } from "./order.js";
import { paceOrders } from "./pace-orders.js";
import { PermitPlanner } from "./permit-planner.js";
import type { PermitRequest } from "./permit-request.js";
import { planPace } from "./plan-pace.js";
import type { QueueRule } from "./queue-rule.js";
import { QueueRules } from "./queue-rules.js";
import { computeCellLoad } from "./compute-cell-load.js";
import { RunPhase } from "./run-phase.js";
import { RunResults } from "./run-results.js";
import { StartPlanner } from "./start-planner.js";
import { stopOrders } from "./stop-orders.js";
import { updatePaceBudgetFactor } from "./update-pace-budget-factor.js";
import type { WorkerEntry } from "./worker-entry.js";
import { WorkerFleet } from "./worker-fleet.js";
import type { WorkerIncarnation } from "./worker-incarnation.js";
import type { WorkerListing } from "./worker-listing.js";

/**
 * Decides what the workers of a cell run. It holds no connection and keeps no time of its own: answers go in by
 * the `note` methods and `answers`, orders come out of `plan`.
 */
export class CellScheduler {
    readonly jobs = JobRegistry.create();
    readonly fleet = WorkerFleet.create();
    private readonly rules = QueueRules.create();
    private readonly results: RunResults;
    /** What was learned of fillers and serving tasks; the next owner continues from it. */
    readonly effects = NeighbourEffects.create();
    readonly responses: OrderResponses;
    private readonly listings: ListingReader;
    private readonly planner: StartPlanner;
    private readonly permits = PermitPlanner.create(this.fleet);
    private readonly previousOwners: PreviousOwners;

    private constructor(
        epoch: number,
        private readonly clock: Clock,
        private readonly limits: CellLimits,
        onEnd: EndObserver,
    ) {
        this.previousOwners = PreviousOwners.create(clock, limits);
        this.results = RunResults.create(this.jobs, this.rules, onEnd);
        this.responses = OrderResponses.create(clock, limits, this.results);
        this.listings = ListingReader.create(this.jobs, this.results);
        const { jobs: book, fleet, rules, effects, results } = this;
        this.planner = StartPlanner.create({ epoch, clock, jobs: book, fleet, rules, effects, results });
    }

    static create(
        epoch: number,
        clock: Clock,
        limits: CellLimits,
        onEnd: EndObserver = () => undefined,
    ): CellScheduler {
        return new CellScheduler(epoch, clock, limits, onEnd);
    }

    setQueues(rules: readonly QueueRule[]): void {
        this.rules.replace(rules);
    }

    /** Adds a job that was accepted after this owner had begun. */
    addJob(spec: JobSpec): void {
        this.jobs.add(spec).openDueOccurrences(this.clock.wallMs());
    }

    /** Adds a job of an earlier owner. */
    inheritJob(spec: JobSpec, progress: JobProgress | undefined): void {
        const job = this.jobs.add(spec, progress);
        if (job.endState === undefined) {
            this.previousOwners.addJob(spec.id);
            job.openDueOccurrences(this.clock.wallMs());
            this.jobs.closeDoneOccurrences(job, this.clock.wallMs());
        }
    }

    /**
     * Names the workers of earlier owners and the longest lease that these granted: nothing that may run there
     * starts elsewhere before they are read or the lease is over.
     */
    expectInheritedWorkers(keys: readonly string[], leaseMs?: number): void {
        this.previousOwners.expectWorkers(keys, leaseMs);
    }

    /** Longest lease that this owner or one before it may have granted, in milliseconds. */
    get maxGrantedLeaseMs(): number {
        return Math.max(this.limits.leaseMs, this.previousOwners.leaseMs);
    }

    cancelJob(id: string): void {
        const job = this.jobs.get(id);
        if (job !== undefined) {
            this.jobs.setEndState(job, JobState.Cancelled, this.clock.wallMs());
        }
    }

    registerWorker(entry: WorkerEntry): WorkerIncarnation {
        const { life, replaced } = this.fleet.register(entry);
        if (replaced !== undefined) {
            this.responses.carryOver(replaced, life);
            this.endLife(replaced);
        }
        this.previousOwners.noteNewIncarnation(entry.id, life.key);
        return life;
    }

    /** Lives that may hold runs of the cell: a next owner has to read them. */
    get workerKeysToRead(): readonly string[] {
        return [
            ...new Set([
                ...[...this.fleet.workers].map(life => life.key),
                ...this.previousOwners.unreadWorkerKeys,
            ]),
        ];
    }

    deregisterWorker(id: string): void {
        const life = this.fleet.get(id);
        if (life !== undefined) {
            life.isRegistered = false;
        }
    }

    /** Takes note of a call that extends the worker's lease, before it is sent. */
    noteLeaseExtension(life: WorkerIncarnation): void {
        const endsMs = this.clock.nowMs() + maxLeaseDurationMs(this.limits.leaseMs);
        life.leaseEndsAtMs = Math.max(life.leaseEndsAtMs, endsMs);
    }

    noteListing(life: WorkerIncarnation, listing: WorkerListing, sentAtMs: number): void {
        const nowMs = this.clock.nowMs();
        life.isReachable = true;
        life.lastContactAtMs = nowMs;
        if (!life.hasListedRuns) {
            // An earlier owner may have extended the lease just before.
            life.leaseEndsAtMs = nowMs + maxLeaseDurationMs(this.previousOwners.leaseMs);
        }
        this.listings.read(life, listing, { sentAtMs, nowMs, wallMs: this.clock.wallMs() });
        this.previousOwners.noteRead(life.key);
        this.effects.learn(life, nowMs);
        updatePaceBudgetFactor(life, nowMs);
        life.version++;
    }

    noteUnreachable(life: WorkerIncarnation): void {
        life.isReachable = false;
    }

    /** Orders for now. A start counts as given: its run holds resources from here on. */
    plan(): Order[] {
        const nowMs = this.clock.nowMs();
        this.expireLives(nowMs);
        this.openDue();
        markMigrations(this.fleet, this.rules, this.effects, nowMs);
        // Starts are planned first: they mark the lasting tasks that make way.
        const starts = this.planner.plan(nowMs, job => this.previousOwners.mayHaveRuns(job));
        planPace(this.fleet, this.effects, nowMs);
        return [...stopOrders(this.fleet, nowMs), ...paceOrders(this.fleet), ...starts];
    }

    /** What to ask the service that permits steps on workers, after the last plan; undefined: nothing now. */
    nextPermitRequest(): PermitRequest | undefined {
        return this.permits.next(this.planner.tasksWithoutPermit, this.clock.nowMs());
    }

    /** `tickets` by worker; undefined: there was no answer. `untilMs` is a monotonic time. */
    notePermits(req: PermitRequest, tickets: ReadonlyMap<string, string> | undefined, untilMs: number): void {
        this.permits.noteAnswer(req, tickets, untilMs, this.clock.nowMs());
    }

    /** Sums over the cell, for the log and the metrics. */
    get load(): CellLoad {
        return computeCellLoad(this.jobs, this.fleet, this.previousOwners.unreadWorkerKeys.size);
    }

    private openDue(): void {
        const wallMs = this.clock.wallMs();
        for (const job of this.jobs.undecided) {
            if (job.spec.schedule !== undefined) {
                job.openDueOccurrences(wallMs);
            }
        }
    }

    /** Ends what a worker that cannot be reached may have run, once its lease is over. */
    private expireLives(nowMs: number): void {
        for (const life of [...this.fleet.workers]) {
            if (!life.isReachable && nowMs > life.leaseEndsAtMs + this.limits.stopMs) {
                this.releaseLapsed(life, nowMs);
                // A worker may come back under its id while a late start can still reach it.
                if (!life.isRegistered && life.runs.size === 0 && life.lateStarts.size === 0) {
                    this.fleet.remove(life);
                }
            }
        }
        this.previousOwners.expire(nowMs);
    }

    private releaseLapsed(life: WorkerIncarnation, nowMs: number): void {
        for (const run of [...life.runs.values()]) {
            const mayStillStart =
                run.phase === RunPhase.Unknown &&
                nowMs < run.startedAtMs + this.limits.lateOrderMs + this.limits.leaseMs;
            if (!mayStillStart) {
                this.results.lapse(run, this.times());
            }
        }
    }

    /** Everything that ran in a life that is over has ended. */
    private endLife(life: WorkerIncarnation): void {
        for (const run of [...life.runs.values()]) {
            this.results.lapse(run, this.times());
        }
        this.previousOwners.noteRead(life.key);
    }

    private times(): { readonly nowMs: number; readonly wallMs: number } {
        return { nowMs: this.clock.nowMs(), wallMs: this.clock.wallMs() };
    }
}
