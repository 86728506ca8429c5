import type { Clock } from "@samphireward/core/clock";
import type { CellLimits } from "@samphireward/jobs/cell-limits";
import { CellScheduler } from "@samphireward/jobs/cell-scheduler";
import type { QueueRule } from "@samphireward/jobs/queue-rule";
import type { WorkerEntry } from "@samphireward/jobs/worker-entry";
import { CellInputWatcher } from "./cell-input-watcher.js";
import type { CellState } from "./cell-state.js";
import type { CommitLog } from "./commit-log.js";
import type { EventLog } from "./event-log.js";
import { jobCodec } from "./job-codec.js";
import type { MetadataStore } from "./metadata-store.js";
import type { Metrics } from "./metrics.js";
import { PermitRequester } from "./permit-requester.js";
import type { PermitSource } from "./permit-source.js";
import { ProgressWriter } from "./progress-writer.js";
import { readCellState } from "./read-cell-state.js";
import { RosterWriter } from "./roster-writer.js";
import { sleep } from "./sleep.js";
import { WorkerLinks } from "./worker-links.js";
import type { WorkerClientFactory } from "./worker-client-factory.js";

/** Changes are gathered for this long before orders are planned. */
const PlanDelayMs = 6;
/** Orders are planned at least this often, for what only time changes. */
const PlanIntervalMs = 100;
const RosterIntervalMs = 1_000;

/** Everything that an owner needs. */
interface OwnerContext {
    readonly cell: number;
    readonly epoch: number;
    readonly store: MetadataStore;
    readonly commits: CommitLog;
    readonly createWorkerClient: WorkerClientFactory;
    readonly permits: PermitSource;
    readonly clock: Clock;
    readonly log: EventLog;
    readonly metrics: Metrics;
    readonly limits: CellLimits;
    /** Told once when another owner has taken over. */
    readonly onLost: (reason: string) => void;
}

/** Owns a cell: takes its jobs from the store, decides with a `CellScheduler` and carries the orders out. */
export class CellOwner {
    readonly scheduler: CellScheduler;
    private readonly abort = new AbortController();
    private readonly links: WorkerLinks;
    private readonly permits: PermitRequester;
    private readonly roster: RosterWriter;
    private readonly writer: ProgressWriter;
    private planTimer: NodeJS.Timeout | undefined;
    private isReady = false;

    private constructor(private readonly context: OwnerContext) {
        const { epoch, clock, limits, log } = context;
        this.scheduler = CellScheduler.create(epoch, clock, limits, (task, life, { number, kind: how }) => {
            const failures = task.failedRuns.size;
            log.write("end", { task: task.name, run: number, worker: life.entry.id, how, failures, epoch });
        });
        this.links = WorkerLinks.create({
            ...context,
            scheduler: this.scheduler,
            listener: {
                onChange: () => this.schedulePlan(),
                onFenced: fenced => context.onLost(`fenced by worker ${fenced.entry.id}`),
            },
        });
        this.permits = PermitRequester.create({ ...context, scheduler: this.scheduler });
        this.writer = ProgressWriter.create({ ...context, scheduler: this.scheduler });
        this.roster = RosterWriter.create({ ...context, scheduler: this.scheduler });
    }

    static create(context: OwnerContext): CellOwner {
        return new CellOwner(context);
    }

    /** Whether the cell's state has been read. */
    get ready(): boolean {
        return this.isReady;
    }

    /** Reads the cell's state and begins to own it. Ends early if `stop` is called meanwhile. */
    async start(
        readRules: () => readonly QueueRule[],
        readEntries: () => Promise<Iterable<WorkerEntry>>,
    ): Promise<void> {
        const { log, cell, epoch, clock } = this.context;
        const startedAtMs = clock.nowMs();
        const { store } = this.context;
        const [state, entries] = await Promise.all([
            readCellState(store, cell, log, this.abort.signal),
            readEntries(),
        ]);
        if (state === undefined || this.abort.signal.aborted) {
            return;
        }
        // The rules may have changed while the state was read.
        this.scheduler.setQueues(readRules());
        this.restore(state);
        this.isReady = true;
        for (const entry of entries) {
            this.workerSeen(entry);
        }
        log.write("cell-owned", {
            cell,
            epoch,
            jobs: this.scheduler.jobs.undecidedCount,
            workers: this.scheduler.fleet.size,
            roster: state.roster.lives.length,
            tookMs: Math.round(clock.nowMs() - startedAtMs),
        });
        const input = CellInputWatcher.create({
            ...this.context,
            book: this.scheduler.jobs,
            onJob: text => this.jobAccepted(text),
            onCancellation: id => this.jobCancelled(id),
        });
        void input.run(this.abort.signal, state.revision);
        void this.writer.run(this.abort.signal);
        void this.planLoop();
        void this.rosterLoop();
        this.schedulePlan();
    }

    /** Gives no more orders. Ends that were read stay with their workers until the next owner reads them. */
    async stop(): Promise<void> {
        await this.writer.flush();
        this.halt();
    }

    halt(): void {
        this.abort.abort();
        clearTimeout(this.planTimer);
        this.links.close();
    }

    setQueues(rules: readonly QueueRule[]): void {
        this.scheduler.setQueues(rules);
        this.schedulePlan();
    }

    /** Ignored until the cell's jobs are read: a worker's ends must not be read before the jobs they belong to. */
    workerSeen(entry: WorkerEntry): void {
        if (this.isReady) {
            this.scheduler.registerWorker(entry);
            this.links.sync();
            this.schedulePlan();
        }
    }

    workerUnlisted(id: string): void {
        this.scheduler.deregisterWorker(id);
        this.schedulePlan();
    }

    /** Takes a job that was just accepted; the watch reports it too. */
    jobAccepted(text: string): void {
        const spec = jobCodec.decodeJob(text);
        if (spec === undefined) {
            this.context.log.write("job-unreadable", { cell: this.context.cell, bytes: text.length });
            return;
        }
        this.scheduler.addJob(spec);
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
        for (const { spec, progress } of state.jobs) {
            scheduler.inheritJob(spec, progress);
        }
        state.cancelled
            .filter(id => scheduler.jobs.get(id)?.endState === undefined)
            .forEach(id => this.jobCancelled(id));
        this.roster.restore(state.roster);
    }

    private schedulePlan(): void {
        if (this.planTimer === undefined && this.isReady && !this.abort.signal.aborted) {
            this.planTimer = setTimeout(() => {
                this.planTimer = undefined;
                this.plan();
            }, PlanDelayMs);
        }
    }

    private plan(): void {
        this.links.sync();
        if (this.roster.holdUnlistedWorkers()) {
            void this.writeRoster();
        }
        for (const order of this.scheduler.plan()) {
            this.links.send(order);
        }
        void this.permits.requestNext().then(hasAsked => hasAsked && this.schedulePlan());
    }

    private async writeRoster(): Promise<void> {
        const made = await this.roster.write();
        if (made.isErr() && !this.abort.signal.aborted) {
            this.context.onLost("the log belongs to another owner");
        }
        this.schedulePlan();
    }

    private async planLoop(): Promise<void> {
        while (!this.abort.signal.aborted) {
            await sleep(PlanIntervalMs, this.abort.signal);
            this.schedulePlan();
        }
    }

    /** Takes ended lives off the roster, so that the next owner does not wait for them. */
    private async rosterLoop(): Promise<void> {
        while (!this.abort.signal.aborted) {
            await sleep(RosterIntervalMs, this.abort.signal);
            this.context.log.write("cell-load", { cell: this.context.cell, ...this.scheduler.load });
            if (this.roster.hasEndedWorkers) {
                await this.writeRoster();
            }
        }
    }
}
