import { ManualClock } from "@samphireward/core/manual-clock";
import { Resources } from "@samphireward/core/resources";
import { CellScheduler } from "@samphireward/jobs/cell-scheduler";
import { EndKind } from "@samphireward/jobs/end-kind";
import { cellLimits } from "@samphireward/jobs/fixtures/cell-limits";
import { jobWorkMs } from "@samphireward/jobs/job-work-ms";
import type { ListedEnd } from "@samphireward/jobs/listed-end";
import { maxUsefulTargets } from "@samphireward/jobs/max-useful-targets";
import { OrderKind } from "@samphireward/jobs/order-kind";
import type { Run } from "@samphireward/jobs/run";
import type { StartOrder } from "@samphireward/jobs/start-order";
import { StartOutcome } from "@samphireward/jobs/start-outcome";
import { targetTimeMs } from "@samphireward/jobs/target-time-ms";
import type { WorkerIncarnation } from "@samphireward/jobs/worker-incarnation";
import type { OrderLoad } from "./order-load.js";

const Workers = 4;
const WorkerProcessors = 16;
/** Resolution of arrivals and ends. */
const TickMs = 50;
/** Longest time between two listings of a worker. */
const ListingMs = 500;
/** Time after the last arrival at which the study ends; results after that are of no use. */
const DrainMs = 40_000;
/** Share of its worth that a late result has. */
const LateShare = 0.15;

/** What callers lost under an order. */
interface StudyResult {
    /** Share of the worth of all results that callers did not get. */
    readonly lost: number;
    /** Share of the jobs that ended in time. */
    readonly inTime: number;
    /** Jobs that had not ended when the study did. */
    readonly open: number;
}

/** Plays a load on a cell of a few workers that run each task for its real duration. */
export class OrderStudy {
    private readonly clock = ManualClock.create(1);
    private readonly scheduler: CellScheduler;
    private readonly workers: readonly WorkerIncarnation[];
    private readonly running = new Map<WorkerIncarnation, Set<Run>>();
    private readonly sequences = new Map<WorkerIncarnation, number>();
    private readonly factors: ReadonlyMap<string, number>;

    private constructor(
        private readonly load: OrderLoad,
        order: StartOrder,
    ) {
        this.scheduler = CellScheduler.create(1, this.clock, cellLimits, {}, order);
        this.scheduler.setQueues(load.rules);
        this.scheduler.expectNoInheritedWorkers();
        this.factors = new Map(load.jobs.map(({ spec, trueFactor }) => [spec.id, trueFactor]));
        this.workers = Array.from({ length: Workers }, (_, index) => this.register(index, false));
        for (const worker of this.workers) {
            this.running.set(worker, new Set());
            this.list(worker);
        }
    }

    /** Plays the load under an order, which must not have been used before. */
    static run(load: OrderLoad, order: StartOrder): StudyResult {
        return new OrderStudy(load, order).play();
    }

    private register(index: number, isDraining: boolean): WorkerIncarnation {
        return this.scheduler.registerWorker({
            id: `w${index}`,
            startedAtMs: 1,
            address: "127.0.0.1:1",
            service: this.load.rules[0]?.service ?? "",
            zone: "zone",
            rack: `r${index}`,
            labels: [],
            capacity: Resources.create({ processors: WorkerProcessors, memoryMb: 64_000 }),
            isDraining,
        });
    }

    private play(): StudyResult {
        const { jobs, outage } = this.load;
        const lastMs = (jobs.at(-1)?.spec.arrivedAtMs ?? 0) + DrainMs;
        let arrived = 0;
        let listedAtMs = 0;
        while (this.clock.nowMs() < lastMs) {
            this.clock.advance(TickMs);
            const nowMs = this.clock.nowMs();
            const isDue = nowMs - listedAtMs >= ListingMs;
            let hasChanged = isDue;
            for (; (jobs[arrived]?.spec.arrivedAtMs ?? Infinity) <= nowMs; arrived++) {
                const job = jobs[arrived];
                if (job !== undefined) {
                    this.scheduler.addJob(job.spec);
                    hasChanged = true;
                }
            }
            if (outage !== undefined && isDue) {
                const isOut = nowMs >= outage[0] && nowMs < outage[1];
                this.workers.forEach((_, index) => this.register(index, isOut && index % 2 === 0));
            }
            for (const worker of this.workers) {
                const hasEnds = [...(this.running.get(worker) ?? [])].some(run => this.progress(run) >= 1);
                if (hasEnds || isDue) {
                    this.list(worker);
                    hasChanged = true;
                }
            }
            listedAtMs = isDue ? nowMs : listedAtMs;
            if (hasChanged) {
                this.plan();
            }
        }
        return this.result();
    }

    private progress(run: Run): number {
        const { spec, occurrence } = run.task.step;
        const tookMs = spec.estimatedMs * (this.factors.get(occurrence.job.spec.id) ?? 1);
        return (this.clock.nowMs() - run.startedAtMs) / tookMs;
    }

    private list(worker: WorkerIncarnation): void {
        const runs = this.running.get(worker) ?? new Set();
        const ended: ListedEnd[] = [];
        for (const run of runs) {
            if (this.progress(run) >= 1) {
                const sequence = (this.sequences.get(worker) ?? 0) + 1;
                this.sequences.set(worker, sequence);
                ended.push({
                    sequence,
                    task: run.task.name,
                    number: run.number,
                    kind: EndKind.Done,
                    checkpoint: "",
                });
                runs.delete(run);
            }
        }
        const running = [...runs].map(run => ({
            task: run.task.name,
            number: run.number,
            checkpoint: "",
            progressPercent: Math.floor(this.progress(run) * 100),
            gauge: 0,
        }));
        const listing = { startedAtMs: worker.entry.startedAtMs, running, ended, isPartial: false };
        this.scheduler.noteListing(worker, listing, this.clock.nowMs());
    }

    private plan(): void {
        for (const order of this.scheduler.plan()) {
            if (order.kind === OrderKind.Start) {
                this.running.get(order.worker)?.add(order.run);
                this.scheduler.responses.recordStart(order.run, StartOutcome.Started);
            } else if (order.kind === OrderKind.Stop) {
                throw new Error(`unexpected stop of ${order.task}`);
            }
        }
    }

    private result(): StudyResult {
        const meanWork = new Map<string, number>();
        for (const { name } of this.load.rules) {
            const works = this.load.jobs
                .filter(({ spec }) => spec.queue === name)
                .map(({ spec }) => jobWorkMs(spec));
            meanWork.set(name, works.reduce((sum, work) => sum + work, 0) / Math.max(works.length, 1));
        }
        let total = 0;
        let got = 0;
        let inTime = 0;
        let open = 0;
        for (const { spec } of this.load.jobs) {
            const job = this.scheduler.jobs.get(spec.id);
            const rule = this.load.rules.find(({ name }) => name === spec.queue);
            if (job === undefined || rule === undefined) {
                throw new Error(`unknown job or queue: ${spec.id}, ${spec.queue}`);
            }
            const worth = Math.min(4, 0.3 + (0.7 * jobWorkMs(spec)) / (meanWork.get(spec.queue) ?? 1));
            const pathMs = spec.steps.reduce((sum, { estimatedMs }) => sum + estimatedMs, 0);
            const tookMs = job.endState === undefined ? Infinity : job.endedAtMs - spec.arrivedAtMs;
            const targets = tookMs / targetTimeMs(rule, pathMs);
            total += worth;
            got += targets <= 1 ? worth : targets <= maxUsefulTargets ? LateShare * worth : 0;
            inTime += targets <= 1 ? 1 : 0;
            open += job.endState === undefined ? 1 : 0;
        }
        return { lost: 1 - got / total, inTime: inTime / this.load.jobs.length, open };
    }
}
