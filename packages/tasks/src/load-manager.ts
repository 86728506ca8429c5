import type { Clock } from "@samphireward/core/clock";
import { runInBackground } from "@samphireward/core/run-in-background";
import { WorkClass } from "@samphireward/core/work-class";
import type { EvictionAction } from "@samphireward/placement/eviction-action";
import type { EvictionCandidate } from "@samphireward/placement/eviction-candidate";
import { EvictionPlanner } from "@samphireward/placement/eviction-planner";
import type { EvictionSettings } from "@samphireward/placement/eviction-settings";
import type { InterferenceLearner } from "@samphireward/placement/interference-learner";
import type { QueuedTask } from "@samphireward/placement/queued-task";
import type { Attempt } from "./attempt.js";
import { AttemptPhase } from "./attempt-phase.js";
import type { TaskRecord } from "./task-record.js";
import type { WorkerEntry } from "./worker-entry.js";
import type { WorkerLink } from "./worker-link.js";
import type { WorkerUsage } from "./worker-usage.js";

/** Mean slowdown of a worker's tasks from which the worker counts as overloaded. */
const OverloadSlowdown = 1.25;

/** Memory in use may exceed the capacity by rounding errors only. */
const MemoryToleranceRatio = 1.01;

/** Operations of the cell's owner that the load manager uses. */
interface LoadManagerCell {
    readonly links: () => Iterable<WorkerLink>;
    readonly task: (key: string) => TaskRecord | undefined;
    readonly workClass: (task: TaskRecord) => WorkClass;
    readonly interferenceClass: (task: TaskRecord) => string;
    readonly evict: (key: string) => boolean;
}

/**
 * Throttles, and then evicts, tasks of workers whose usage reports show overload, and frees capacity for
 * urgent tasks.
 */
export class LoadManager {
    private readonly planner: EvictionPlanner;

    private constructor(
        private readonly cell: LoadManagerCell,
        private readonly clock: Clock,
        private readonly learner: InterferenceLearner | undefined,
        settings: Partial<EvictionSettings>,
    ) {
        this.planner = EvictionPlanner.create(settings);
    }

    static create(
        cell: LoadManagerCell,
        clock: Clock,
        learner: InterferenceLearner | undefined,
        settings: Partial<EvictionSettings> = {},
    ): LoadManager {
        return new LoadManager(cell, clock, learner, settings);
    }

    /** Must be called after a reservation was made or removed on a worker. */
    onReservationsChanged({ entry }: WorkerLink): void {
        this.learner?.recordWorkloadMix(entry.name, new Map(entry.processorsByClass), this.clock.nowMs());
    }

    /** Drops what was learned about a worker that has left the cell. */
    removeWorker(name: string): void {
        this.planner.removeWorker(name);
        this.learner?.removeWorker(name);
    }

    /** Handles a worker's usage report, which describes the state `lagMs` ago. */
    handleUsageReport(link: WorkerLink, usage: WorkerUsage, serviceObjectiveMs: number | undefined): void {
        const { entry } = link;
        const used = usage.tasks.reduce((sum, task) => sum + task.processors, 0);
        entry.measuredLoad = Math.min(1, used / Math.max(1e-9, entry.capacity.processors));
        this.learn(link, usage);
        const pressure = this.pressure(link, usage, serviceObjectiveMs);
        const candidates = this.candidates(link, usage);
        const actions = this.planner.observe(entry.name, pressure, candidates, this.clock.nowMs());
        actions.forEach(action => this.applyAction(link, action));
    }

    /** Evicts batch tasks so that an urgent task fits on one worker; returns that worker. */
    preemptFor(task: QueuedTask): WorkerEntry | undefined {
        const suitable = [...this.cell.links()].filter(
            ({ entry }) => entry.open && entry.heldFor === undefined && entry.fitsWhenEmpty(task.resources),
        );
        const processorShortage = (link: WorkerLink): number =>
            link.entry.shortage(task.resources).processors;
        suitable.sort((a, b) => processorShortage(a) - processorShortage(b));
        for (const link of suitable) {
            const shortage = link.entry.shortage(task.resources);
            const nowMs = this.clock.nowMs();
            const actions = this.planner.planPreemption(shortage, this.candidates(link, undefined), nowMs);
            if (actions.length > 0) {
                actions.forEach(({ key }) => this.cell.evict(key));
                return link.entry;
            }
        }
        return undefined;
    }

    private pressure(link: WorkerLink, usage: WorkerUsage, objectiveMs: number | undefined): number {
        const { tasks, service } = usage;
        const slowdown = tasks.reduce((sum, task) => sum + task.slowdown, 0) / Math.max(1, tasks.length);
        const memoryMb = tasks.reduce((sum, task) => sum + task.memoryMb, 0);
        const memoryLimit = Math.max(1, link.entry.capacity.memoryMb * MemoryToleranceRatio);
        const latency = objectiveMs === undefined ? 0 : service.p99Ms / objectiveMs;
        return Math.max(slowdown / OverloadSlowdown, memoryMb / memoryLimit, latency);
    }

    /** Returns the running batch tasks of a worker that are not being evicted. */
    private candidates(link: WorkerLink, usage: WorkerUsage | undefined): EvictionCandidate[] {
        const total = usage?.tasks.reduce((sum, task) => sum + task.processors, 0) ?? 0;
        const candidates: EvictionCandidate[] = [];
        for (const attempt of link.attempts.values()) {
            const task = this.cell.task(attempt.key);
            const isMovable = attempt.phase === AttemptPhase.Live && !attempt.isEvicting;
            if (isMovable && task !== undefined && this.cell.workClass(task) === WorkClass.Batch) {
                const used = usage?.tasks.find(({ key }) => key === attempt.key)?.processors;
                candidates.push(this.toCandidate(attempt, used, total));
            }
        }
        return candidates;
    }

    private toCandidate(attempt: Attempt, used: number | undefined, total: number): EvictionCandidate {
        const seconds = (this.clock.nowMs() - attempt.runningSinceMs) / 1000;
        return {
            key: attempt.key,
            resources: attempt.resources,
            lostProcessorSeconds: seconds * attempt.resources.processors,
            pressureShare: used === undefined || total === 0 ? 1 : used / total,
            processorShare: attempt.processorShare,
        };
    }

    private applyAction(link: WorkerLink, action: EvictionAction): void {
        const attempt = link.attempts.get(action.key);
        if (action.kind === "evict") {
            this.cell.evict(action.key);
        } else if (attempt !== undefined) {
            runInBackground("throttle", this.throttle(link, attempt, action));
        }
    }

    private async throttle(link: WorkerLink, attempt: Attempt, action: EvictionAction): Promise<void> {
        const answer = await link.throttle(attempt, action.processorShare);
        if (answer.isOk()) {
            attempt.processorShare = action.processorShare;
        }
    }

    private learn(link: WorkerLink, usage: WorkerUsage): void {
        if (this.learner === undefined) {
            return;
        }
        const sums = new Map<string, { sum: number; count: number }>();
        for (const { key, slowdown } of usage.tasks) {
            const name = this.interferenceClassOf(key);
            const { sum, count } = sums.get(name) ?? { sum: 0, count: 0 };
            sums.set(name, { sum: sum + slowdown, count: count + 1 });
        }
        this.learner.learn({
            worker: link.entry.name,
            observedAtMs: this.clock.nowMs() - usage.lagMs,
            processors: link.entry.capacity.processors,
            load: link.entry.measuredLoad,
            slowdownByClass: new Map([...sums].map(([name, { sum, count }]) => [name, sum / count])),
            p99MsByService: new Map(),
        });
    }

    private interferenceClassOf(key: string): string {
        const task = this.cell.task(key);
        return task === undefined ? "" : this.cell.interferenceClass(task);
    }
}
