import type { RandomSource } from "@samphireward/core/random-source";
import { Resources } from "@samphireward/core/resources";
import { WorkClass } from "@samphireward/core/work-class";
import { CandidateIndex } from "@samphireward/placement/candidate-index";
import { InterferenceAwarePolicy } from "@samphireward/placement/interference-aware-policy";
import { InterferenceModel } from "@samphireward/placement/interference-model";
import type { PlacementRequest } from "@samphireward/placement/placement-request";
import { QuotaTracker } from "@samphireward/placement/quota-tracker";
import { TaskQueue } from "@samphireward/placement/task-queue";
import type { WorkerView } from "@samphireward/placement/worker-view";

const classNames = ["render", "watch", "cutting", "nesting", "archive", "noisy"];
const teamNames = Array.from({ length: 96 }, (_, index) => `team${index}`);
const noWorkers: ReadonlySet<string> = new Set();

/** A running task of the fleet. */
interface FleetTask {
    readonly key: string;
    readonly team: string;
    readonly className: string;
    readonly resources: Resources;
    worker: number;
}

/** The workers of one owner with running tasks, queue, quotas and policy, to measure the time of decisions. */
export class ScaleFleet {
    private readonly views: WorkerView[];
    private readonly tasks: FleetTask[] = [];
    private readonly index: CandidateIndex;
    private readonly queue = TaskQueue.create();
    private readonly quotas: QuotaTracker;
    private readonly policy: InterferenceAwarePolicy;
    private submittedCount = 0;

    private constructor(
        workers: number,
        tasks: number,
        private readonly random: RandomSource,
    ) {
        this.index = CandidateIndex.create(random);
        const quota = Resources.create({
            processors: workers,
            memoryMb: workers * 4_000,
            accelerators: workers,
        });
        this.quotas = QuotaTracker.create(new Map(teamNames.map(name => [name, quota])));
        this.policy = InterferenceAwarePolicy.create(trainedModel(random), {
            tailLatency: 0.5,
            batch: 0.5,
            load: 0.1,
            toleratedSlowdown: 2,
            latencyCriticalClasses: new Set(["render", "watch"]),
        });
        this.views = Array.from({ length: workers }, (_, worker) => this.emptyView(worker));
        this.views.forEach(view => this.index.update(view));
        for (let count = 0; count < tasks; count++) {
            this.place("index");
        }
    }

    static create(workers: number, tasks: number, random: RandomSource): ScaleFleet {
        return new ScaleFleet(Math.floor(workers), Math.floor(tasks), random);
    }

    /** Ends a random task and starts another: one decision, with the updates of the index, queue and quotas. */
    replaceTask(mode: "index" | "scan"): void {
        this.end(this.random.below(this.tasks.length));
        this.place(mode);
    }

    /** Queues a task, takes the first task of the queue, and places it. */
    private place(mode: "index" | "scan"): void {
        this.submit();
        const head = this.queue.candidates(this.submittedCount)[0];
        if (head === undefined) {
            return;
        }
        const request: PlacementRequest = { ...head, excludedWorkers: noWorkers };
        const candidates = mode === "index" ? this.index.candidates(request) : this.views;
        const decision = this.policy.choose(request, candidates);
        const allowed = this.quotas.reserve(head.key, head.team, head.resources, head.workClass);
        this.queue.remove(head.key);
        if (decision.isErr() || allowed.isErr()) {
            this.quotas.release(head.key);
            return;
        }
        const worker = Number(decision.value.slice(1));
        const { key, team, resources, interferenceClass: className } = head;
        this.tasks.push({ key, team, className, resources, worker });
        this.updateView(worker, className, resources);
    }

    private submit(): void {
        this.submittedCount++;
        const processors = 0.5 * (1 + this.random.below(4));
        const className = classNames[2 + this.random.below(4)] ?? "";
        this.queue.add({
            key: `k${this.submittedCount}`,
            team: teamNames[this.random.below(teamNames.length)] ?? "",
            workClass: WorkClass.Batch,
            interferenceClass: className,
            resources: Resources.create({ processors, memoryMb: processors * 2_000 }),
            expectedRunMs: 60_000,
            submittedAtMs: this.submittedCount,
        });
    }

    private end(position: number): void {
        const task = this.tasks[position];
        const last = this.tasks.pop();
        if (task === undefined || last === undefined) {
            return;
        }
        if (last !== task) {
            this.tasks[position] = last;
        }
        this.quotas.release(task.key);
        this.updateView(task.worker, task.className, task.resources.scale(-1));
    }

    private updateView(worker: number, className: string, resources: Resources): void {
        const view = this.views[worker];
        if (view === undefined) {
            return;
        }
        const processorsByClass = new Map(view.processorsByClass);
        processorsByClass.set(className, (processorsByClass.get(className) ?? 0) + resources.processors);
        const changed = { ...view, processorsByClass, reserved: view.reserved.plus(resources) };
        this.views[worker] = changed;
        this.index.update(changed);
    }

    private emptyView(worker: number): WorkerView {
        return {
            name: `w${worker}`,
            rack: `r${Math.floor(worker / 40)}`,
            capacity: Resources.create({
                processors: 32,
                memoryMb: 128_000,
                accelerators: worker % 2 === 0 ? 4 : 0,
            }),
            reserved: Resources.create({ processors: 4, memoryMb: 16_000 }),
            measuredLoad: 0.2 + 0.6 * this.random.next(),
            processorsByClass: new Map([["render", 4]]),
            open: true,
        };
    }
}

/** A model with estimates for every pair, so that predictions cost as much as in production. */
const trainedModel = (random: RandomSource): InterferenceModel => {
    const model = InterferenceModel.create();
    for (const affected of classNames) {
        for (const load of [0.3, 0.5, 0.8]) {
            const processorsByClass = new Map(classNames.map(name => [name, 4]));
            model.learn(affected, processorsByClass, 32, load, 1 + random.next(), 0);
        }
    }
    return model;
};
