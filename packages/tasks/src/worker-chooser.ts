import { WorkClass } from "@samphireward/core/work-class";
import type { PlacementPolicy } from "@samphireward/placement/placement-policy";
import type { QueuedTask } from "@samphireward/placement/queued-task";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import type { CellWorkers } from "./cell-workers.js";
import type { TaskRecord } from "./task-record.js";
import type { WorkerEntry } from "./worker-entry.js";

const emptySet: ReadonlySet<string> = new Set();

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
        const open = this.workers
            .openEntries()
            .filter(entry => entry.open && (entry.heldFor === undefined || entry === held));
        const request = {
            key,
            resources,
            interferenceClass,
            workClass,
            excludedWorkers: this.excludedWorkers(record),
            runningTasksByRack: this.tasksByRack(task, record.spec.pool),
        };
        const decision = this.policy.choose(request, open);
        if (decision.isErr()) {
            return Err(this.explainRefusal(record, decision.error));
        }
        const entry = open.find(({ name }) => name === decision.value);
        return Ok(entry?.fits(resources) === true ? entry : undefined);
    }

    /** Workers on which the task failed, unless no other worker could hold it. */
    private excludedWorkers(record: TaskRecord): ReadonlySet<string> {
        if (record.failures.length === 0) {
            return emptySet;
        }
        const failed = new Set(record.failures);
        const others = this.workers
            .entries()
            .some(entry => !failed.has(entry.name) && entry.fitsWhenEmpty(record.spec.resources));
        return others ? failed : emptySet;
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
