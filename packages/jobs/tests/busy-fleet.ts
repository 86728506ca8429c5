import { Resources } from "@samphireward/core/resources";
import { EndKind } from "../src/end-kind.js";
import type { ListedEnd } from "../src/listed-end.js";
import { OrderKind } from "../src/order-kind.js";
import type { Run } from "../src/run.js";
import { StartOutcome } from "../src/start-outcome.js";
import type { StepSpec } from "../src/step-spec.js";
import type { Task } from "../src/task.js";
import type { WorkerIncarnation } from "../src/worker-incarnation.js";
import { SchedulerHarness } from "./scheduler-harness.js";

/** Time between two plans. */
const TickMs = 20;
const StopMs = 200;
const ServingTailMs = 10;
const WorkerProcessors = 64;

/** A run on a simulated worker. */
interface SimulatedRun {
    readonly run: Run;
    endsAtMs: number;
    kind: EndKind;
}

/** Workers that run tasks for their estimated time and report each end at the next plan. */
export class BusyFleet {
    readonly harness = SchedulerHarness.create();
    readonly workers: readonly WorkerIncarnation[];
    private readonly running = new Map<WorkerIncarnation, Map<string, SimulatedRun>>();
    private readonly sequences = new Map<WorkerIncarnation, number>();
    private readonly lastingTasks = new Set<Task>();
    private readonly downSinceMs = new Map<Task, number>();
    /** Longest time for which a lasting task had no run, in milliseconds. */
    longestDownMs = 0;
    /** Number of orders to stop a lasting task. */
    lastingStops = 0;

    private constructor(workerCount: number) {
        this.workers = Array.from({ length: workerCount }, (_, index) =>
            this.harness.addWorker(`w${index}`, {
                rack: `r1-${index % 4}`,
                capacity: Resources.create({ processors: WorkerProcessors, memoryMb: 256_000 }),
            }),
        );
        this.workers.forEach(worker => this.running.set(worker, new Map()));
    }

    static create(workerCount: number): BusyFleet {
        return new BusyFleet(workerCount);
    }

    get nowMs(): number {
        return this.harness.clock.nowMs();
    }

    submit(...steps: Partial<StepSpec>[]): void {
        const { id } = this.harness.submit(...steps);
        for (const task of this.harness.scheduler.jobs.get(id)?.tasks() ?? []) {
            if (task.step.spec.lasting) {
                this.lastingTasks.add(task);
            }
        }
    }

    /** Lets the fleet run; `onTick` may submit further jobs. */
    advance(ms: number, onTick: () => void = () => undefined): void {
        const untilMs = this.nowMs + ms;
        while (this.nowMs < untilMs) {
            this.harness.clock.advance(TickMs);
            onTick();
            this.workers.forEach(worker => this.reportEnds(worker));
            this.carryOut();
            this.measure();
        }
    }

    private runsOf(worker: WorkerIncarnation): Map<string, SimulatedRun> {
        return this.running.get(worker) ?? new Map<string, SimulatedRun>();
    }

    private reportEnds(worker: WorkerIncarnation): void {
        const runs = this.runsOf(worker);
        const ended: ListedEnd[] = [];
        for (const [task, { run, endsAtMs, kind }] of runs) {
            if (endsAtMs <= this.nowMs) {
                const sequence = (this.sequences.get(worker) ?? 0) + 1;
                this.sequences.set(worker, sequence);
                ended.push({ sequence, task, number: run.number, kind, checkpoint: "" });
                runs.delete(task);
            }
        }
        if (ended.length > 0) {
            const running = [...runs.values()].map(({ run }) => ({
                ...SchedulerHarness.listedRun(run),
                progressPercent: run.task.step.spec.lasting ? 100 : 50,
                gauge: run.task.step.spec.tailTargetMs > 0 ? ServingTailMs : 0,
            }));
            this.harness.reportListing(worker, running, ended);
        }
    }

    private carryOut(): void {
        for (const order of this.harness.planOrders()) {
            if (order.kind === OrderKind.Start) {
                const { spec } = order.run.task.step;
                const endsAtMs = spec.lasting ? Infinity : this.nowMs + spec.estimatedMs;
                const started = { run: order.run, endsAtMs, kind: EndKind.Done };
                this.runsOf(order.worker).set(order.run.task.name, started);
                this.harness.scheduler.responses.recordStart(order.run, StartOutcome.Started);
            } else if (order.kind === OrderKind.Stop) {
                this.stop(order.worker, order.task);
            }
        }
    }

    private stop(worker: WorkerIncarnation, task: string): void {
        const simulated = this.runsOf(worker).get(task);
        if (simulated !== undefined && simulated.kind !== EndKind.Stopped) {
            this.lastingStops += simulated.run.task.step.spec.lasting ? 1 : 0;
            simulated.kind = EndKind.Stopped;
            simulated.endsAtMs = this.nowMs + StopMs;
        }
    }

    private measure(): void {
        for (const task of this.lastingTasks) {
            if (task.run !== undefined) {
                this.downSinceMs.delete(task);
                continue;
            }
            const sinceMs = this.downSinceMs.get(task) ?? this.nowMs;
            this.downSinceMs.set(task, sinceMs);
            this.longestDownMs = Math.max(this.longestDownMs, this.nowMs - sinceMs);
        }
    }
}
