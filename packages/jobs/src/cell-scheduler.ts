import type { Clock } from "@samphireward/core/clock";
import { AdmissionControl } from "./admission-control.js";
import { CapableWorkers } from "./capable-workers.js";
import type { CellLeases } from "./cell-leases.js";
import type { CellLimits } from "./cell-limits.js";
import type { CellLoad } from "./cell-load.js";
import { CopyPlanner } from "./copy-planner.js";
import { CopyRuns } from "./copy-runs.js";
import { CrashSuspicions } from "./crash-suspicions.js";
import { DeadlineOrder } from "./deadline-order.js";
import { PreviousOwners } from "./previous-owners.js";
import type { EvacuationProgress } from "./evacuation-progress.js";
import { evacuationProgressOf } from "./evacuation-progress-of.js";
import type { EndObserver } from "./end-observer.js";
import { EndReason } from "./end-reason.js";
import { explainPlacement } from "./explain-placement.js";
import { InheritedTrials } from "./inherited-trials.js";
import { JobRegistry } from "./job-registry.js";
import type { JobProgress } from "./job-progress.js";
import type { JobSpec } from "./job-spec.js";
import { JobState } from "./job-state.js";
import type { ListedEnd } from "./listed-end.js";
import { LastingWaits } from "./lasting-waits.js";
import { ListingReader } from "./listing-reader.js";
import { maxLeaseDurationMs } from "./max-lease-duration-ms.js";
import { NeighbourEffects } from "./neighbour-effects.js";
import { markEvacuations } from "./mark-evacuations.js";
import { markMigrations } from "./mark-migrations.js";
import { OrderResponses } from "./order-responses.js";
import type { Order } from "./order.js";
import { overdueAfterMs } from "./overdue-after-ms.js";
import { paceOrders } from "./pace-orders.js";
import { PermitPlanner } from "./permit-planner.js";
import type { PermitRequest } from "./permit-request.js";
import { planPace } from "./plan-pace.js";
import type { PlacementExplanation } from "./placement-explanation.js";
import type { QueueRule } from "./queue-rule.js";
import { QueueRules } from "./queue-rules.js";
import { computeCellLoad } from "./compute-cell-load.js";
import { computeCellLeases } from "./compute-cell-leases.js";
import { computePriorityLoads } from "./compute-priority-loads.js";
import type { PriorityLoad } from "./priority-load.js";
import { RunResults } from "./run-results.js";
import type { StartOrder } from "./start-order.js";
import type { StartOrderName } from "./start-order-name.js";
import { StartPlanner } from "./start-planner.js";
import { stopOrders } from "./stop-orders.js";
import { TrialPlanner } from "./trial-planner.js";
import { Trials } from "./trials.js";
import { updatePaceBudgetFactor } from "./update-pace-budget-factor.js";
import type { WaitingTask } from "./waiting-task.js";
import type { WorkerEntry } from "./worker-entry.js";
import { WorkerFleet } from "./worker-fleet.js";
import type { WorkerIncarnation } from "./worker-incarnation.js";
import type { WorkerListing } from "./worker-listing.js";

/**
 * Decides what the workers of a cell run. It opens no connections and starts no timers: worker responses are passed
 * in through the `note` methods and `responses`, and `plan` returns the orders to send.
 */
export class CellScheduler {
    readonly fleet = WorkerFleet.create();
    private readonly rules = QueueRules.create();
    readonly jobs = JobRegistry.create(() => CapableWorkers.create(this.fleet, this.rules));
    private readonly results: RunResults;
    private readonly trials = Trials.create(this.jobs, this.fleet);
    private readonly suspicions: CrashSuspicions;
    private readonly inheritedTrials: InheritedTrials;
    /** Learned interference between fillers and serving tasks; stored for the next owner. */
    readonly effects = NeighbourEffects.create();
    readonly responses: OrderResponses;
    /** Lasting tasks that have been without a run for long. */
    readonly lastingWaits: LastingWaits;
    private readonly listings: ListingReader;
    private readonly planner: StartPlanner;
    private readonly permits = PermitPlanner.create(this.fleet);
    private readonly previousOwners: PreviousOwners;
    /** Tasks in evacuated data centres that need a permit to move, according to the last plan. */
    private movesWithoutPermit: readonly WaitingTask[] = [];
    /** Whether the results of jobs that are handed in now would still be of use. */
    readonly admission: AdmissionControl;

    private constructor(
        epoch: number,
        private readonly clock: Clock,
        private readonly limits: CellLimits,
        observer: EndObserver,
        private readonly order: StartOrder,
    ) {
        this.previousOwners = PreviousOwners.create(clock, limits);
        const copies = CopyRuns.create(observer);
        this.results = RunResults.create(this.jobs, this.rules, this.trials, observer, copies);
        this.suspicions = CrashSuspicions.create(this.jobs, this.fleet, observer);
        this.responses = OrderResponses.create(clock, limits, this.results);
        this.listings = ListingReader.create(this.jobs, this.results, this.suspicions, observer);
        const { jobs, fleet, rules, effects, results, trials, suspicions } = this;
        const unreadWorkers = (): number => this.previousOwners.unreadWorkers.size;
        this.admission = AdmissionControl.create({ clock, jobs, fleet, rules, unreadWorkers });
        this.inheritedTrials = InheritedTrials.create({ jobs, fleet, trials, suspicions });
        const trialPlanner = TrialPlanner.create({ fleet, effects, trials, suspicions });
        const copyPlanner = CopyPlanner.create({ epoch, jobs, fleet, rules, effects, copies });
        this.planner = StartPlanner.create({
            epoch,
            clock,
            jobs,
            fleet,
            rules,
            effects,
            results,
            trialPlanner,
            copyPlanner,
            order,
        });
        const unreadWorkersFor = (job: string): number =>
            this.previousOwners.mayHaveRuns(job) ? this.previousOwners.unreadWorkers.size : 0;
        this.lastingWaits = LastingWaits.create({ clock, jobs, fleet, rules, effects, unreadWorkersFor });
    }

    static create(
        epoch: number,
        clock: Clock,
        limits: CellLimits,
        observer: EndObserver = {},
        order: StartOrder = DeadlineOrder.create(),
    ): CellScheduler {
        return new CellScheduler(epoch, clock, limits, observer, order);
    }

    /** Sets the rules of all queues; `version` is that of the configuration that they are from. */
    setQueues(rules: readonly QueueRule[], version?: number): void {
        this.rules.replace(rules, version);
        this.results.applyAttemptLimits(this.clock.wallMs());
    }

    /** Sets the data centres in which nothing starts from now on, and from which running work moves away. */
    setEvacuated(dataCentres: ReadonlySet<string>): void {
        this.fleet.setEvacuated(dataCentres);
    }

    /** What is left in the data centres that are being evacuated. */
    get evacuations(): readonly EvacuationProgress[] {
        return evacuationProgressOf(this.fleet, this.previousOwners.unreadWorkers.size);
    }

    /** Adds a job that was accepted by this owner. A later plan opens the tasks for which there is no room now. */
    addJob(spec: JobSpec): void {
        this.jobs.add(spec).openDueOccurrences(this.clock.wallMs());
    }

    /** Adds a job that was accepted by a previous owner. */
    inheritJob(spec: JobSpec, progress: JobProgress | undefined): void {
        const job = this.jobs.add(spec, progress);
        job.isInherited = true;
        if (job.endState === undefined) {
            this.previousOwners.addJob(spec.id);
            this.inheritedTrials.addJob(job);
            this.jobs.closeDoneOccurrences(job, this.clock.wallMs());
            this.results.applyAttemptLimitTo(job, this.clock.wallMs());
        }
    }

    /**
     * Sets the workers of previous owners, by key, the longest lease that these owners granted, and the remaining leases
     * that differ from that, by key, if they are known. Tasks that may run on such a worker are not started elsewhere until
     * the worker has listed its runs or the lease has expired, `extraWaitMs` later where no remaining lease is known.
     */
    expectInheritedWorkers(
        keys: readonly string[],
        leaseMs?: number,
        leasesMs?: ReadonlyMap<string, number>,
        extraWaitMs = 0,
    ): void {
        this.previousOwners.expectWorkers(keys, leaseMs, leasesMs, extraWaitMs);
        this.countInheritedWaits();
    }

    /** Records that no owner of the cell has started anything before. */
    expectNoInheritedWorkers(): void {
        this.previousOwners.expectNone();
    }

    /** Longest lease that this owner or a previous one may have granted, in milliseconds. */
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
        const { worker, replaced } = this.fleet.register(entry);
        if (replaced !== undefined) {
            this.responses.carryOver(replaced, worker);
            this.endIncarnation(replaced, entry.startedAtMs);
        }
        this.previousOwners.noteIncarnation(worker.entry);
        return worker;
    }

    /** Keys of the workers that may hold runs of the cell; the next owner has to read them, or to wait for their leases. */
    get workerKeysToRead(): readonly string[] {
        return [
            ...new Set([
                ...[...this.fleet.workers].filter(worker => !worker.isEnded).map(worker => worker.key),
                ...this.previousOwners.unreadWorkers.keys(),
            ]),
        ];
    }

    /** Keys of the workers of previous owners that have not listed their runs. */
    get unreadWorkerKeys(): Iterable<string> {
        return this.previousOwners.unreadWorkers.keys();
    }

    /** Remaining leases, for the next owner, that differ from one granted now. */
    get leases(): CellLeases {
        return computeCellLeases(this.fleet, this.previousOwners, this.maxGrantedLeaseMs, this.clock.nowMs());
    }

    deregisterWorker(id: string): void {
        const worker = this.fleet.get(id);
        if (worker !== undefined) {
            worker.isRegistered = false;
        }
    }

    /**
     * Records a call that extends the worker's lease; to be called before the call is sent, and with what it has left of
     * the lease when the clock in its response is known. That is more than was counted if the worker has started again since
     * its clock was read: its clock has begun anew. Workers shorten a lease to their maximum.
     */
    noteLeaseExtension(worker: WorkerIncarnation, leaseMs = this.limits.leaseMs): void {
        const durationMs = maxLeaseDurationMs(Math.min(leaseMs, this.limits.maxLeaseMs));
        worker.leaseEndsAtMs = Math.max(worker.leaseEndsAtMs, this.clock.nowMs() + durationMs);
    }

    /** A listing of a worker that has been forgotten or replaced is ignored: its runs belong to the current record. */
    noteListing(worker: WorkerIncarnation, listing: WorkerListing, sentAtMs: number): void {
        if (!this.isCurrent(worker)) {
            return;
        }
        const nowMs = this.clock.nowMs();
        this.noteReachability(worker, true);
        this.suspicions.noteAlive(worker);
        worker.lastContactAtMs = nowMs;
        worker.lastListingSentAtMs = sentAtMs;
        if (!worker.hasListedRuns) {
            const endsAtMs = nowMs + this.previousOwners.leaseAtFirstListingMs(worker.key);
            worker.leaseEndsAtMs = Math.max(worker.leaseEndsAtMs, endsAtMs);
        }
        this.listings.read(worker, listing, { sentAtMs, nowMs, wallMs: this.clock.wallMs() });
        this.previousOwners.noteRead(worker.key);
        this.effects.learn(worker, nowMs);
        updatePaceBudgetFactor(worker, nowMs);
        worker.version++;
    }

    /** Records ends from a response that came too late to show what runs on the worker. */
    noteEnds(worker: WorkerIncarnation, ends: readonly ListedEnd[]): void {
        if (!this.isCurrent(worker)) {
            return;
        }
        this.listings.readEnds(worker, ends, this.times());
        worker.version++;
    }

    noteUnreachable(worker: WorkerIncarnation): void {
        this.noteReachability(worker, false);
    }

    /** Returns the orders to send now. A planned start reserves its resources from here on. */
    plan(): Order[] {
        const nowMs = this.clock.nowMs();
        this.expireLeases(nowMs);
        this.judgeLosses(nowMs);
        this.jobs.openDueOccurrences(this.clock.wallMs());
        markMigrations(this.fleet, this.rules, this.effects, nowMs);
        // Starts are planned before stops: planning them marks the lasting tasks to preempt.
        const isBlocked = (job: string): boolean => this.previousOwners.mayHaveRuns(job);
        const starts = this.planner.plan(nowMs, isBlocked);
        const { jobs, fleet, rules, effects } = this;
        this.movesWithoutPermit = markEvacuations({ jobs, fleet, rules, effects, nowMs, isBlocked });
        planPace(this.fleet, this.effects, nowMs);
        return [...stopOrders(this.fleet, nowMs), ...paceOrders(this.fleet), ...starts];
    }

    /** Explains where a job would be placed if it were accepted now; undefined if its queue is unknown. Changes nothing. */
    explainPlacement(spec: JobSpec): PlacementExplanation | undefined {
        const { jobs, fleet, rules, effects, order, clock, previousOwners } = this;
        const isBlocked = (job: string): boolean => previousOwners.mayHaveRuns(job);
        const times = { nowMs: clock.nowMs(), wallMs: clock.wallMs() };
        return effects.readOnly(() =>
            explainPlacement(spec, { jobs, fleet, rules, effects, order, isBlocked, ...times }),
        );
    }

    /** Next request to the permit service, according to the last plan, for waiting tasks first; undefined if none is due. */
    nextPermitRequest(): PermitRequest | undefined {
        const waiting = [...this.planner.tasksWithoutPermit, ...this.movesWithoutPermit];
        return this.permits.next(waiting, this.clock.nowMs());
    }

    /** `tickets` by worker id, undefined if the service did not answer. `untilMs` is a monotonic time. */
    notePermits(req: PermitRequest, tickets: ReadonlyMap<string, string> | undefined, untilMs: number): void {
        this.permits.noteAnswer(req, tickets, untilMs, this.clock.nowMs());
    }

    /** Totals over the cell, for the log and the metrics. */
    get load(): CellLoad {
        return computeCellLoad(this.jobs, this.fleet, this.previousOwners.unreadWorkers.size);
    }

    /** What waits and what is late, by the priority of the queues. */
    get priorityLoads(): readonly PriorityLoad[] {
        return computePriorityLoads(this.jobs, this.rules, this.order, this.clock.wallMs());
    }

    /** Name of the order in which tasks start. */
    get startOrder(): StartOrderName {
        return this.order.name;
    }

    private isCurrent(worker: WorkerIncarnation): boolean {
        return this.fleet.get(worker.entry.id) === worker;
    }

    /** The stored progress of the jobs tells the next owner which workers may be lost. */
    private noteReachability(worker: WorkerIncarnation, isReachable: boolean): void {
        if (worker.isReachable !== isReachable) {
            worker.isReachable = isReachable;
            worker.unreachableSinceMs = isReachable ? undefined : this.clock.nowMs();
            worker.runs.forEach(({ task }) => this.jobs.markChanged(task.step.occurrence.job));
        }
    }

    /** Ends the runs of unreachable workers whose lease has expired. */
    private expireLeases(nowMs: number): void {
        for (const worker of [...this.fleet.workers]) {
            if (!worker.isReachable && nowMs > worker.leaseEndsAtMs + this.limits.stopMs) {
                this.suspicions.noteLoss(worker, nowMs);
                this.releaseRunsOf(worker);
                // The worker may register again under its id while a late start can still reach it.
                if (!worker.isRegistered && worker.runs.size === 0 && worker.lateStarts.size === 0) {
                    this.fleet.remove(worker);
                }
            }
        }
        this.previousOwners.expire(nowMs);
    }

    /** Counts crashes against tasks, and gives up those that have crashed too many workers. */
    private judgeLosses(nowMs: number): void {
        const wallMs = this.clock.wallMs();
        const { unreadWorkers } = this.previousOwners;
        this.inheritedTrials.resolve(workerKey => unreadWorkers.has(workerKey), { nowMs, wallMs });
        this.suspicions.settle(nowMs, wallMs);
        this.trials.closeFinished();
    }

    /** Starts without a response are given up as well: workers refuse a start after its deadline, which is in the lease. */
    private releaseRunsOf(worker: WorkerIncarnation): void {
        for (const run of [...worker.runs.values()]) {
            this.responses.giveUpStart(run);
            this.results.lapse(run, EndReason.LeaseOver, this.times());
        }
    }

    /** Ends all runs of an incarnation that no longer exists. */
    private endIncarnation(worker: WorkerIncarnation, restartedAtMs: number): void {
        this.suspicions.noteLoss(worker, this.clock.nowMs());
        for (const run of [...worker.runs.values()]) {
            this.results.lapse(run, EndReason.Restarted, this.times(), restartedAtMs);
        }
    }

    /**
     * Counts the lasting tasks of inherited jobs whose turn has come as overdue: those that are not found running have
     * waited under the previous owner already, for a time that is not known.
     */
    private countInheritedWaits(): void {
        this.jobs.openDueOccurrences(this.clock.wallMs());
        const nowMs = this.clock.nowMs();
        for (const job of this.jobs.undecided) {
            for (const step of this.previousOwners.mayHaveRuns(job.spec.id) ? job.openSteps() : []) {
                for (const task of step.spec.lasting ? step.tasks : []) {
                    task.readySinceMs ??= nowMs - overdueAfterMs;
                    task.notRunningSinceMs ??= nowMs;
                }
            }
        }
    }

    private times(): { readonly nowMs: number; readonly wallMs: number } {
        return { nowMs: this.clock.nowMs(), wallMs: this.clock.wallMs() };
    }
}
