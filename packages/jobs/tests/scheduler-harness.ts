import { ManualClock } from "@samphireward/core/manual-clock";
import { Resources } from "@samphireward/core/resources";
import { CellScheduler } from "../src/cell-scheduler.js";
import type { EndKind } from "../src/end-kind.js";
import type { EndObserver } from "../src/end-observer.js";
import type { IgnoredEnd } from "../src/ignored-end.js";
import type { JobProgress } from "../src/job-progress.js";
import type { JobSpec } from "../src/job-spec.js";
import type { ListedEnd } from "../src/listed-end.js";
import type { ListedRun } from "../src/listed-run.js";
import type { Order } from "../src/order.js";
import { OrderKind } from "../src/order-kind.js";
import type { Run } from "../src/run.js";
import type { RunEnd } from "../src/run-end.js";
import { StartOutcome } from "../src/start-outcome.js";
import type { StartOrder } from "../src/start-order.js";
import type { StepSpec } from "../src/step-spec.js";
import type { WorkerEntry } from "../src/worker-entry.js";
import { unstoredTrials } from "../src/unstored-trials.js";
import type { WorkerIncarnation } from "../src/worker-incarnation.js";
import { cellLimits } from "./fixtures/cell-limits.js";
import { plainStep } from "./fixtures/plain-step.js";
import { queueRule } from "./fixtures/queue-rule.js";

const StartMs = 1_000_000;

/** Time after which a previous owner's lease has expired on every worker. */
const InheritedLeaseMs = 7_000;

const rule = queueRule("queue");

/** A scheduler on a manual clock, with workers whose responses are provided by the test. */
export class SchedulerHarness {
    readonly clock = ManualClock.create(StartMs);
    readonly scheduler: CellScheduler;
    /** The ends that were applied to their tasks, with the name of the task and the id of the worker. */
    readonly appliedEnds: (RunEnd & { readonly task: string; readonly worker: string })[] = [];
    /** The ends that were not applied to their tasks, with the id of the worker. */
    readonly ignoredEnds: (IgnoredEnd & { readonly worker: string })[] = [];
    /** Receives the outcomes of copies. */
    copyObserver: Pick<EndObserver, "onCopy" | "onCopyWaste"> = {};
    private jobCount = 0;
    private readonly ends = new Map<string, number>();

    private constructor(epoch: number, order?: StartOrder) {
        const observer: EndObserver = {
            onApplied: (task, { entry }, end) =>
                this.appliedEnds.push({ ...end, task: task.name, worker: entry.id }),
            onCopy: (copy, outcome) => this.copyObserver.onCopy?.(copy, outcome),
            onCopyWaste: processorMs => this.copyObserver.onCopyWaste?.(processorMs),
            onIgnored: ({ entry }, end) => this.ignoredEnds.push({ ...end, worker: entry.id }),
        };
        this.scheduler = CellScheduler.create(epoch, this.clock, cellLimits, observer, order);
        this.scheduler.setQueues([rule]);
    }

    static create(epoch = 1, order?: StartOrder): SchedulerHarness {
        return new SchedulerHarness(epoch, order);
    }

    static get inheritedLeaseDurationMs(): number {
        return InheritedLeaseMs;
    }

    /** Makes the steps of the queue need permits from now on. */
    requirePermits(): void {
        this.scheduler.setQueues([{ ...rule, needsPermits: true }]);
    }

    makeJob(...steps: Partial<StepSpec>[]): JobSpec {
        const id = (++this.jobCount).toString(16).padStart(16, "0");
        return {
            id,
            queue: rule.name,
            payload: "work",
            steps: steps.map(step => ({ ...plainStep, ...step })),
            schedule: undefined,
            arrivedAtMs: this.clock.wallMs(),
        };
    }

    submit(...steps: Partial<StepSpec>[]): JobSpec {
        const spec = this.makeJob(...steps);
        this.scheduler.addJob(spec);
        return spec;
    }

    inherit(spec: JobSpec, progress?: JobProgress): void {
        this.scheduler.inheritJob(spec, progress);
    }

    /** Registers a worker and reports an empty listing for it. */
    addWorker(id: string, entry: Partial<WorkerEntry> = {}): WorkerIncarnation {
        const worker = this.addUnreadWorker(id, entry);
        this.reportListing(worker, [], []);
        return worker;
    }

    /** Registers a worker that has not listed its runs yet. */
    addUnreadWorker(id: string, entry: Partial<WorkerEntry> = {}): WorkerIncarnation {
        return this.scheduler.registerWorker({
            id,
            startedAtMs: 1,
            address: "127.0.0.1:1",
            service: rule.service,
            zone: "zone",
            rack: "r1-1",
            labels: ["a", "r1-1"],
            capacity: Resources.create({ processors: 16, memoryMb: 64_000 }),
            isDraining: false,
            ...entry,
        });
    }

    reportListing(
        worker: WorkerIncarnation,
        running: readonly ListedRun[],
        ended: readonly ListedEnd[],
        sentAtMs?: number,
    ): void {
        const listing = { startedAtMs: worker.entry.startedAtMs, running, ended, isPartial: false };
        this.scheduler.noteListing(worker, listing, sentAtMs ?? this.clock.nowMs());
    }

    /** Reports a listing with the end of a run, while the worker's other runs continue. */
    reportEnd(run: Run, kind: EndKind, checkpoint = ""): void {
        const { worker } = run;
        const others = [...worker.runs.values()].filter(other => other !== run);
        const sequence = (this.ends.get(worker.key) ?? 0) + 1;
        this.ends.set(worker.key, sequence);
        const end = { sequence, task: run.task.name, number: run.number, kind, checkpoint };
        this.reportListing(worker, others.map(SchedulerHarness.listedRun), [end]);
    }

    static listedRun(this: void, run: Run): ListedRun {
        return { task: run.task.name, number: run.number, checkpoint: "", progressPercent: 50, gauge: 0 };
    }

    /** Plans, and reports every start as successful. */
    planAndStartAll(): Run[] {
        const runs = this.planStarts();
        runs.forEach(run => this.scheduler.responses.recordStart(run, StartOutcome.Started));
        return runs;
    }

    /** Plans and returns the runs to start, without a response to the starts. */
    planStarts(): Run[] {
        return this.planOrders().flatMap(order => (order.kind === OrderKind.Start ? [order.run] : []));
    }

    /** Plans, stores the progress of the changed jobs at once, and plans what had to wait for that. */
    planOrders(): Order[] {
        const orders = this.scheduler.plan();
        const changed = this.scheduler.jobs.takeChanged();
        const trials = changed.flatMap(unstoredTrials);
        trials.forEach(trial => (trial.isStored = true));
        return trials.length === 0 ? orders : [...orders, ...this.scheduler.plan()];
    }
}
