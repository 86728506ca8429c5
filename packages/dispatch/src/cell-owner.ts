import type { Clock } from "@samphireward/core/clock";
import { describeError } from "@samphireward/core/describe-error";
import type { CellLimits } from "@samphireward/jobs/cell-limits";
import { CellScheduler } from "@samphireward/jobs/cell-scheduler";
import type { QueueRule } from "@samphireward/jobs/queue-rule";
import { createStartOrder } from "@samphireward/jobs/create-start-order";
import type { StartOrderName } from "@samphireward/jobs/start-order-name";
import type { WorkerEntry } from "@samphireward/jobs/worker-entry";
import { CellInputWatcher } from "./cell-input-watcher.js";
import type { CellState } from "./cell-state.js";
import type { CommitLog } from "./commit-log.js";
import { EndReporter } from "./end-reporter.js";
import { EvacuationMonitor } from "./evacuation-monitor.js";
import type { EvacuationSource } from "./evacuation-source.js";
import type { EventLog } from "./event-log.js";
import { HeartbeatPause } from "./heartbeat-pause.js";
import { JobIntake } from "./job-intake.js";
import { LoadReporter } from "./load-reporter.js";
import type { MetadataStore } from "./metadata-store.js";
import type { Metrics } from "./metrics.js";
import type { OwnershipProof } from "./ownership-proof.js";
import { PermitRequester } from "./permit-requester.js";
import type { PermitSource } from "./permit-source.js";
import { PlanDelay } from "./plan-delay.js";
import { PriorityReporter } from "./priority-reporter.js";
import { ProgressWriter } from "./progress-writer.js";
import { readCellState } from "./read-cell-state.js";
import { RosterWriter } from "./roster-writer.js";
import { runInBackground } from "./run-in-background.js";
import { sleep } from "./sleep.js";
import { TombstoneCleaner } from "./tombstone-cleaner.js";
import { WorkerLinks } from "./worker-links.js";
import type { WorkerClientFactory } from "./worker-client-factory.js";

/** Longest time between two plans, for conditions that change with time alone. */
const PlanIntervalMs = 100;
const MaintenanceIntervalMs = 1_000;

/** Dependencies and identity of an owner. */
interface OwnerContext {
    readonly cell: number;
    /** Cells of the layout in force. */
    readonly cellCount: () => number;
    readonly epoch: number;
    readonly store: MetadataStore;
    readonly commits: CommitLog;
    readonly proof: Pick<OwnershipProof, "provenAtMs">;
    readonly createWorkerClient: WorkerClientFactory;
    readonly permits: PermitSource;
    /** Absent if data centres are not evacuated on this deployment. */
    readonly evacuations?: EvacuationSource | undefined;
    readonly clock: Clock;
    readonly log: EventLog;
    readonly metrics: Metrics;
    readonly limits: CellLimits;
    /** Order in which tasks start; by deadline if absent. */
    readonly startOrder?: StartOrderName | undefined;
    /** Whether the waits of each priority of queues are reported. */
    readonly reportsPriorities?: boolean;
    /** Time, in milliseconds, by which silent workers of the previous owner are waited for beyond their lease; 0 if absent. */
    readonly extraWaitMs?: number;
    /** Called when another owner has taken over, and when a loop of this one failed unexpectedly. */
    readonly onLost: (reason: string) => void;
}

/**
 * Owns a cell: reads its jobs from the store, schedules them with a `CellScheduler` and sends its orders to the
 * workers.
 */
export class CellOwner {
    readonly scheduler: CellScheduler;
    private readonly abort = new AbortController();
    private readonly intake: JobIntake;
    private readonly links: WorkerLinks;
    private readonly loadReporter: LoadReporter;
    private readonly priorities: PriorityReporter | undefined;
    private readonly permits: PermitRequester;
    private readonly evacuations: EvacuationMonitor | undefined;
    private readonly roster: RosterWriter;
    private readonly writer: ProgressWriter;
    private readonly tombstones: TombstoneCleaner;
    private readonly planDelay = PlanDelay.create();
    private readonly heartbeatPause = HeartbeatPause.create();
    private planTimer: NodeJS.Timeout | undefined;
    private hasReadState = false;

    private constructor(private readonly context: OwnerContext) {
        const { epoch, clock, limits } = context;
        this.scheduler = CellScheduler.create(
            epoch,
            clock,
            limits,
            EndReporter.create(context),
            createStartOrder(context.startOrder),
        );
        this.intake = JobIntake.create({ ...context, scheduler: this.scheduler });
        this.links = WorkerLinks.create({
            ...context,
            scheduler: this.scheduler,
            heartbeatPause: this.heartbeatPause,
            listener: {
                onChange: () => this.schedulePlan(),
                onFenced: fenced => context.onLost(`fenced by worker ${fenced.entry.id}`),
            },
        });
        this.loadReporter = LoadReporter.create(context);
        this.priorities =
            context.reportsPriorities === true ? PriorityReporter.create(context, this.scheduler) : undefined;
        this.permits = PermitRequester.create({ ...context, scheduler: this.scheduler });
        this.writer = ProgressWriter.create({ ...context, scheduler: this.scheduler });
        this.roster = RosterWriter.create({ ...context, scheduler: this.scheduler });
        this.tombstones = TombstoneCleaner.create(context);
        const { evacuations: source } = context;
        this.evacuations =
            source &&
            EvacuationMonitor.create({
                ...context,
                source,
                scheduler: this.scheduler,
                onChange: () => this.schedulePlan(),
            });
    }

    static create(context: OwnerContext): CellOwner {
        return new CellOwner(context);
    }

    /** Whether the cell's state has been read. */
    get isReady(): boolean {
        return this.hasReadState;
    }

    /** Reads the cell's state and starts to schedule its jobs. Returns early if `stop` is called meanwhile. */
    async start(
        readRules: () => readonly QueueRule[],
        readWorkers: () => Promise<Iterable<WorkerEntry>>,
        readConfigVersion?: () => number | undefined,
    ): Promise<void> {
        const { log, cell, epoch, clock } = this.context;
        const startedAtMs = clock.nowMs();
        const { store } = this.context;
        const [state, entries] = await Promise.all([
            readCellState(store, cell, log, this.abort.signal),
            readWorkers(),
            // A start before the evacuations are known could be in a data centre that has been emptied.
            this.evacuations?.start(this.abort.signal),
        ]);
        if (state === undefined || this.abort.signal.aborted) {
            return;
        }
        // The rules may have changed while the state was read.
        this.scheduler.setQueues(readRules(), readConfigVersion?.());
        this.restore(state);
        this.hasReadState = true;
        for (const entry of entries) {
            this.registerWorker(entry);
        }
        log.write("cell-owned", {
            cell,
            epoch,
            jobs: this.scheduler.jobs.undecidedCount,
            workers: this.scheduler.fleet.size,
            roster: state.roster?.lives.length ?? 0,
            tookMs: Math.round(clock.nowMs() - startedAtMs),
        });
        const inputWatcher = CellInputWatcher.create({
            ...this.context,
            jobs: this.scheduler.jobs,
            onJob: text => this.jobAccepted(text),
            onTombstone: tombstone => this.tombstones.add(tombstone),
            onCancellation: id => this.jobCancelled(id),
            onTakeover: newer => this.context.onLost(`epoch ${newer} has taken over`),
        });
        const { signal } = this.abort;
        const { onLost } = this.context;
        // Without one of its loops the owner would keep the cell and not serve it, so the cell is left to another.
        runInBackground("inputs", inputWatcher.run(signal, state.revision), log, onLost);
        runInBackground("progress", this.writer.run(signal), log, onLost);
        runInBackground("tombstones", this.tombstones.run(signal), log, onLost);
        runInBackground("plans", this.runPlanLoop(), log, onLost);
        runInBackground("maintenance", this.runMaintenanceLoop(), log, onLost);
        this.schedulePlan();
    }

    /**
     * Writes outstanding progress and sends no more orders. Ends that were not acknowledged stay with their workers
     * until the next owner reads them.
     */
    async stop(): Promise<void> {
        await this.writer.flush();
        this.halt();
        await this.roster.writeFinal();
    }

    /** Stops at once, without writing progress. */
    halt(): void {
        this.abort.abort();
        clearTimeout(this.planTimer);
        this.links.close();
        this.loadReporter.close();
        this.priorities?.close();
        this.evacuations?.close();
    }

    setQueues(rules: readonly QueueRule[], version?: number): void {
        this.scheduler.setQueues(rules, version);
        this.schedulePlan();
    }

    /**
     * Ignored until the cell's state has been read: a worker's ends must not be read before the jobs they belong to.
     */
    registerWorker(entry: WorkerEntry): void {
        if (this.hasReadState) {
            this.links.ensureLink(this.scheduler.registerWorker(entry));
            this.schedulePlan();
        }
    }

    deregisterWorker(id: string): void {
        this.scheduler.deregisterWorker(id);
        this.schedulePlan();
    }

    /** Adds a job that the watch of the inputs has reported. */
    jobAccepted(text: string): void {
        this.intake.accept(text);
        this.schedulePlan();
    }

    jobCancelled(id: string): void {
        this.scheduler.cancelJob(id);
        this.context.log.write("job-cancelled", { job: id, cell: this.context.cell });
        this.schedulePlan();
    }

    private restore(state: CellState): void {
        const { scheduler } = this;
        if (state.effects !== undefined) {
            scheduler.effects.restore(state.effects);
        }
        this.intake.restore(state);
        state.tombstones.forEach(tombstone => this.tombstones.add(tombstone));
        state.cancelled
            .filter(id => scheduler.jobs.get(id)?.endState === undefined)
            .forEach(id => this.jobCancelled(id));
        this.roster.restore(state.roster, this.context.extraWaitMs);
    }

    private schedulePlan(): void {
        if (this.planTimer === undefined && this.hasReadState && !this.abort.signal.aborted) {
            const nowMs = this.context.clock.nowMs();
            const delayMs = this.planDelay.from(nowMs);
            const dueAtMs = nowMs + delayMs;
            this.planTimer = setTimeout(() => {
                this.planTimer = undefined;
                this.loadReporter.recordTimer(dueAtMs);
                this.planOrGiveUp();
            }, delayMs);
        }
    }

    /** A plan that throws must not end the process, which also serves callers. */
    private planOrGiveUp(): void {
        try {
            this.plan();
        } catch (err) {
            this.context.log.write("background-failed", { operation: "plan", reason: describeError(err) });
            this.context.onLost("plan failed unexpectedly");
        }
    }

    private plan(): void {
        const { clock } = this.context;
        const startedAtMs = clock.nowMs();
        this.links.sync();
        if (this.roster.blockUnlistedWorkers()) {
            runInBackground(
                "roster",
                this.writeRoster({ addsSilent: false }),
                this.context.log,
                this.context.onLost,
            );
        }
        const orders = this.scheduler.plan();
        this.loadReporter.recordPlan(startedAtMs);
        // Without the time to send the orders, of which there are as many with fewer plans.
        const endedAtMs = clock.nowMs();
        this.planDelay.record(endedAtMs - startedAtMs, endedAtMs);
        for (const order of orders) {
            this.links.send(order);
        }
        const requested = this.permits.requestNext().then(hasSent => hasSent && this.schedulePlan());
        runInBackground("permits", requested, this.context.log);
    }

    private async writeRoster(options: { readonly addsSilent: boolean }): Promise<void> {
        const written = await this.roster.write(options);
        if (written.isErr() && !this.abort.signal.aborted) {
            this.context.onLost("the log belongs to another owner");
        }
        this.schedulePlan();
    }

    private async runPlanLoop(): Promise<void> {
        while (!this.abort.signal.aborted) {
            const dueAtMs = this.context.clock.nowMs() + PlanIntervalMs;
            await sleep(PlanIntervalMs, this.abort.signal);
            this.loadReporter.recordTimer(dueAtMs);
            this.heartbeatPause.record(this.context.clock.nowMs() - dueAtMs);
            this.schedulePlan();
        }
    }

    /**
     * Logs the cell's load and its long waits, and brings the roster up to date, so that the next owner does not wait for
     * workers that have ended.
     */
    private async runMaintenanceLoop(): Promise<void> {
        while (!this.abort.signal.aborted) {
            await sleep(MaintenanceIntervalMs, this.abort.signal);
            this.loadReporter.report(this.scheduler.load, this.scheduler.lastingWaits.take());
            this.priorities?.report();
            this.evacuations?.report();
            if (this.roster.isOutdated) {
                await this.writeRoster({ addsSilent: true });
            }
        }
    }
}
