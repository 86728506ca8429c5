import type { Resources } from "@samphireward/core/resources";
import { WorkClass } from "@samphireward/core/work-class";
import type { PlacementPolicy } from "@samphireward/placement/placement-policy";
import type { QueuedTask } from "@samphireward/placement/queued-task";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import type { CellWorkers } from "./cell-workers.js";
import { isSuspect } from "./is-suspect.js";
import type { TaskRecord } from "./task-record.js";
import type { WorkerEntry } from "./worker-entry.js";

const emptySet: ReadonlySet<string> = new Set();

/** Returns the names if another worker could hold the task. */
const otherThanAll = (
    entries: readonly WorkerEntry[],
    names: readonly string[],
    resources: Resources,
): readonly string[] => {
    const excluded = new Set(names);
    const others = entries.some(entry => !excluded.has(entry.name) && entry.fitsWhenEmpty(resources));
    return others ? names : [];
};

/** Workers without suspects that have room, and of these the ones with the fewest tasks. */
const quietestFor = (resources: Resources, entries: readonly WorkerEntry[]): readonly WorkerEntry[] => {
    const suitable = entries.filter(entry => !entry.hasSuspect && entry.fits(resources));
    const least = Math.min(...suitable.map(({ taskCount }) => taskCount));
    return suitable.filter(({ taskCount }) => taskCount === least);
};

/** Chooses the worker for one task with the placement policy. */
export class WorkerChooser {
    private constructor(
        private readonly policy: PlacementPolicy,
        private readonly workers: CellWorkers,
    ) {}

    static create(policy: PlacementPolicy, workers: CellWorkers): WorkerChooser {
        return new WorkerChooser(policy, workers);
    }

    /**
     * Returns the worker for a task, or `undefined` when the policy's choice does not fit. `held` is the
     * worker that is kept free for the task, if any. The error is the reason why no worker can be chosen.
     */
    choose(
        task: QueuedTask,
        record: TaskRecord,
        held: WorkerEntry | undefined,
    ): Result<WorkerEntry | undefined, string> {
        const { key, resources, interferenceClass, workClass } = task;
        const available = this.workers
            .openEntries()
            .filter(entry => entry.open && (entry.heldFor === undefined || entry === held));
        const excludedWorkers = this.excludedWorkers(record);
        const open = task.isSuspect
            ? quietestFor(
                  resources,
                  available.filter(({ name }) => !excludedWorkers.has(name)),
              )
            : available;
        const request = {
            key,
            resources,
            interferenceClass,
            workClass,
            excludedWorkers,
            runningTasksByRack: this.tasksByRack(task, record.spec.pool),
        };
        const decision = this.policy.choose(request, open);
        if (decision.isErr()) {
            return Err(this.explainRefusal(record, decision.error));
        }
        const entry = open.find(({ name }) => name === decision.value);
        return Ok(entry?.fits(resources) === true ? entry : undefined);
    }

    /** Whether a worker without suspects could hold a suspect, now or once it has room. */
    hasWorkerFor(task: QueuedTask): boolean {
        return this.workers
            .openEntries()
            .some(entry => !entry.hasSuspect && entry.fitsWhenEmpty(task.resources));
    }

    /**
     * Workers on which the task failed or was lost, unless no other worker could hold it. A lost one is not used
     * again while others are expected back: a second crash of it would not tell the task from the worker.
     */
    private excludedWorkers(record: TaskRecord): ReadonlySet<string> {
        if (record.failures.length === 0 && record.losses.length === 0) {
            return emptySet;
        }
        const { resources } = record.spec;
        const suspected = record.losses.filter(loss => isSuspect([loss])).map(({ worker }) => worker);
        const failed = otherThanAll(this.workers.entries(), record.failures, resources);
        const expected = this.workers.entries().filter(entry => !entry.isWithdrawn);
        return new Set([...failed, ...otherThanAll(expected, suspected, resources)]);
    }

    /** Number of the pool's tasks in each rack; only latency-critical tasks are spread over racks. */
    private tasksByRack(task: QueuedTask, pool: string): ReadonlyMap<string, number> {
        const counts = new Map<string, number>();
        for (const entry of task.workClass === WorkClass.LatencyCritical ? this.workers.entries() : []) {
            counts.set(entry.rack, (counts.get(entry.rack) ?? 0) + (entry.poolCounts.get(pool) ?? 0));
        }
        return counts;
    }

    private explainRefusal(record: TaskRecord, reason: string): string {
        const failed = record.failures.length === 0 ? "" : `failed on ${record.failures.join(", ")}; `;
        const isLargeEnough = this.workers
            .entries()
            .some(entry => entry.fitsWhenEmpty(record.spec.resources));
        return isLargeEnough ? `${failed}${reason}` : `${failed}no worker of the cell is large enough now`;
    }
}
