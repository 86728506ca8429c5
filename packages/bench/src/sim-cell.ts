import { Resources } from "@samphireward/core/resources";
import { WorkClass } from "@samphireward/core/work-class";
import type { EvictionAction } from "@samphireward/placement/eviction-action";
import { EvictionPlanner } from "@samphireward/placement/eviction-planner";
import type { EvictionSettings } from "@samphireward/placement/eviction-settings";
import { InterferenceLearner } from "@samphireward/placement/interference-learner";
import type { QueuedTask } from "@samphireward/placement/queued-task";
import { TaskQueue } from "@samphireward/placement/task-queue";
import type { UsageSample } from "@samphireward/placement/usage-sample";
import { WaitReason } from "@samphireward/placement/wait-reason";
import type { BenchPolicy } from "./bench-policy.js";
import { evictionCandidates } from "./eviction-candidates.js";
import type { SimTask } from "./sim-task.js";
import type { SimWorker } from "./sim-worker.js";

const noWorkers: ReadonlySet<string> = new Set();

/** Simulates the owner of a cell: queue, placement, learning, throttling and eviction. */
export class SimCell {
    readonly queue = TaskQueue.create();
    evictions = 0;
    /** Evictions, included in `evictions`, that made room for latency-critical tasks. */
    urgentEvictions = 0;
    longestWaitMs = 0;
    throttles = 0;
    /** Processor seconds lost by evictions and failed workers since the last `takeLostProcessorSeconds`. */
    private lostProcessorSeconds = 0;
    private readonly waiting = new Map<string, SimTask>();
    private readonly learner: InterferenceLearner | undefined;
    private readonly planner: EvictionPlanner;
    /** Worker that is reserved for a blocked task, and the key of that task. */
    private held: { readonly worker: string; readonly key: string } | undefined;

    private constructor(
        readonly workers: readonly SimWorker[],
        private readonly policy: BenchPolicy,
        private readonly maxPlacementDelaySeconds: number,
        eviction: Partial<EvictionSettings>,
    ) {
        this.learner = policy.model && InterferenceLearner.create(policy.model);
        this.planner = EvictionPlanner.create(eviction);
    }

    static create(
        workers: readonly SimWorker[],
        policy: BenchPolicy,
        maxPlacementDelaySeconds: number,
        eviction: Partial<EvictionSettings>,
    ): SimCell {
        return new SimCell(workers, policy, maxPlacementDelaySeconds, eviction);
    }

    submit(task: SimTask): void {
        this.waiting.set(task.key, task);
        this.queue.add(toQueuedTask(task));
    }

    cancelWaiting(key: string): void {
        this.waiting.delete(key);
        this.queue.remove(key);
    }

    waitingTasks(): SimTask[] {
        return [...this.waiting.values()];
    }

    /** Starts the queued tasks that can start, and reserves a worker for a blocked task if necessary. */
    place(nowMs: number): void {
        this.releaseHold();
        for (let progress = true; progress;) {
            progress = false;
            for (const queued of this.queue.candidates(nowMs)) {
                progress = this.tryStart(queued, nowMs) || progress;
            }
        }
        this.holdWorker(nowMs);
    }

    /** Removes a finished or cancelled task from its worker. */
    end(worker: SimWorker, task: SimTask, nowMs: number): void {
        worker.remove(task);
        this.learner?.recordWorkloadMix(worker.name, worker.processorsByClass, nowMs);
    }

    /** Marks the worker as lost, and requeues its tasks. */
    failWorker(worker: SimWorker, nowMs: number): void {
        worker.setAlive(false);
        [...worker.tasks].forEach(task => this.requeue(worker, task, nowMs));
        this.planner.removeWorker(worker.name);
        this.learner?.removeWorker(worker.name);
    }

    /** Processes a usage report. `pressure` is the measured tail latency of the service relative to its limit. */
    handleReport(worker: SimWorker, sample: UsageSample, pressure: number, nowMs: number): void {
        if (!worker.alive) {
            return;
        }
        worker.setReportedLoad(sample.load);
        this.learner?.learn(sample);
        const mayAct = pressure >= 1 || [...worker.tasks].some(({ processorShare }) => processorShare < 1);
        const candidates = mayAct ? evictionCandidates(worker, this.policy.predictor) : [];
        for (const action of this.planner.observe(worker.name, pressure, candidates, nowMs)) {
            this.carryOut(worker, action, nowMs);
        }
    }

    takeLostProcessorSeconds(): number {
        const lost = this.lostProcessorSeconds;
        this.lostProcessorSeconds = 0;
        return lost;
    }

    private tryStart(queued: QueuedTask, nowMs: number): boolean {
        const task = this.waiting.get(queued.key);
        if (task === undefined) {
            return false;
        }
        const runningTasksByRack = this.runningTasksByRack(task);
        const views = this.workers
            .filter(worker => worker.name !== this.held?.worker || queued.key === this.held.key)
            .map(worker => worker.view);
        const waitedMs = nowMs - queued.submittedAtMs;
        const mayWait =
            queued.workClass === WorkClass.Batch && waitedMs < this.maxPlacementDelaySeconds * 1000;
        const decision = this.policy.policy.choose(
            { ...queued, excludedWorkers: noWorkers, runningTasksByRack, mayWait },
            views,
        );
        const worker = decision.isOk()
            ? this.workers.find(({ name }) => name === decision.value)
            : this.preemptFor(queued, nowMs);
        if (worker === undefined) {
            if (!decision.isErr() || decision.error === WaitReason.NoRoom) {
                this.queue.markBlocked(queued.key, nowMs);
            }
            return false;
        }
        this.queue.remove(queued.key);
        this.waiting.delete(queued.key);
        const isFirstStart = task.checkpointSeconds === 0;
        this.longestWaitMs = Math.max(this.longestWaitMs, isFirstStart ? waitedMs : 0);
        worker.add(task);
        this.learner?.recordWorkloadMix(worker.name, worker.processorsByClass, nowMs);
        return true;
    }

    private runningTasksByRack(task: SimTask): Map<string, number> {
        const counts = new Map<string, number>();
        if (task.simClass.kind === "watch") {
            for (const worker of this.workers) {
                const taskCount = [...worker.tasks].filter(other => other.simClass === task.simClass).length;
                counts.set(worker.rack, (counts.get(worker.rack) ?? 0) + taskCount);
            }
        }
        return counts;
    }

    /** Evicts batch tasks for an urgent task on the worker with most batch tasks. Returns it if any were evicted. */
    private preemptFor(queued: QueuedTask, nowMs: number): SimWorker | undefined {
        if (queued.workClass !== WorkClass.LatencyCritical) {
            return undefined;
        }
        const batchTaskCount = (worker: SimWorker): number =>
            evictionCandidates(worker, this.policy.predictor).length;
        const worker = this.workers
            .filter(({ alive }) => alive)
            .sort((a, b) => batchTaskCount(b) - batchTaskCount(a))[0];
        if (worker === undefined) {
            return undefined;
        }
        const free = worker.view.capacity.minus(worker.reserved);
        const difference = queued.resources.minus(free);
        const shortage = Resources.create({
            processors: Math.max(0, difference.processors),
            memoryMb: Math.max(0, difference.memoryMb),
        });
        const actions = this.planner.planPreemption(
            shortage,
            evictionCandidates(worker, this.policy.predictor),
            nowMs,
        );
        for (const task of [...worker.tasks].filter(({ key }) =>
            actions.some(action => action.key === key),
        )) {
            this.urgentEvictions++;
            this.evictions++;
            this.requeue(worker, task, nowMs);
        }
        return actions.length > 0 ? worker : undefined;
    }

    private carryOut(worker: SimWorker, action: EvictionAction, nowMs: number): void {
        const task = [...worker.tasks].find(({ key }) => key === action.key);
        if (task === undefined) {
            return;
        }
        if (action.kind === "evict") {
            this.evictions++;
            this.requeue(worker, task, nowMs);
            return;
        }
        this.throttles += action.kind === "throttle" ? 1 : 0;
        task.processorShare = action.processorShare;
        worker.updateProcessorsByClass();
        this.learner?.recordWorkloadMix(worker.name, worker.processorsByClass, nowMs);
    }

    private requeue(worker: SimWorker, task: SimTask, nowMs: number): void {
        this.lostProcessorSeconds += (task.doneSeconds - task.checkpointSeconds) * task.simClass.processors;
        task.doneSeconds = task.checkpointSeconds;
        task.processorShare = 1;
        this.end(worker, task, nowMs);
        this.submit(task);
    }

    private releaseHold(): void {
        if (this.held !== undefined && !this.queue.has(this.held.key)) {
            this.held = undefined;
        }
    }

    private holdWorker(nowMs: number): void {
        const due = this.queue.taskToHoldFor(nowMs);
        if (due === undefined || this.held !== undefined) {
            return;
        }
        const free = (worker: SimWorker): number =>
            worker.view.capacity.processors - worker.reserved.processors;
        const worker = this.workers.filter(({ alive }) => alive).sort((a, b) => free(b) - free(a))[0];
        if (worker !== undefined) {
            this.held = { worker: worker.name, key: due.key };
            this.queue.hold(due.key, true);
        }
    }
}

const toQueuedTask = ({ key, simClass, submittedAtMs }: SimTask): QueuedTask => ({
    key,
    submittedAtMs,
    team: "team",
    workClass: simClass.kind === "batch" ? WorkClass.Batch : WorkClass.LatencyCritical,
    interferenceClass: simClass.name,
    resources: Resources.create(simClass),
    expectedRunMs: simClass.kind === "batch" ? simClass.meanRunSeconds * 1000 : Infinity,
});
