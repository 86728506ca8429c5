import { Resources } from "@samphireward/core/resources";
import { TaskState } from "@samphireward/core/task-state";
import type { Attempt } from "./attempt.js";
import { AttemptPhase } from "./attempt-phase.js";
import type { LinkState } from "./link-state.js";
import type { OwnerContext } from "./owner-context.js";
import type { AttemptRef } from "./attempt-ref.js";
import type { WorkerClient } from "./worker-client.js";
import type { WorkerEntry } from "./worker-entry.js";
import type { WorkerTasks } from "./worker-tasks.js";

/** Interval of the inventories while tasks that are not in the records run on the worker. */
const UnrecordedCheckIntervalMs = 5000;

/**
 * Compares the tasks that a worker runs with the records. Those without a record count as used capacity until
 * they are gone.
 */
export class WorkerInventory {
    private orphans: AttemptRef[] = [];

    private constructor(
        private readonly entry: WorkerEntry,
        private readonly attempts: ReadonlyMap<string, Attempt>,
        private readonly link: LinkState,
        private readonly owner: OwnerContext,
    ) {}

    static create(
        entry: WorkerEntry,
        attempts: ReadonlyMap<string, Attempt>,
        link: LinkState,
        owner: OwnerContext,
    ): WorkerInventory {
        return new WorkerInventory(entry, attempts, link, owner);
    }

    /** A task that contradicts the records by running on the worker and must be stopped, if there is one. */
    get firstOrphan(): AttemptRef | undefined {
        return this.orphans[0];
    }

    /** Processes the worker's report. `asked` are the attempts that existed when the worker was asked. */
    processReport(asked: readonly Attempt[], report: WorkerTasks): void {
        const reported = new Set<string>();
        let unrecorded = Resources.none;
        this.orphans = [];
        for (const task of report.tasks) {
            const attempt = this.attempts.get(task.key);
            if (attempt?.attempt === task.attempt && attempt.phase !== AttemptPhase.Ended) {
                reported.add(task.key);
                continue;
            }
            unrecorded = unrecorded.plus(task.resources);
            // A key that the cell does not know may belong to another cell and is left running.
            if (this.owner.task(task.key) !== undefined) {
                this.orphans.push({ key: task.key, attempt: task.attempt });
            }
        }
        this.entry.setUnrecorded(unrecorded);
        const isComplete = unrecorded === Resources.none;
        this.link.markInventoryKnown(
            isComplete ? Infinity : this.link.clock.nowMs() + UnrecordedCheckIntervalMs,
        );
        asked.forEach(attempt => this.settleAttempt(attempt, reported.has(attempt.key)));
    }

    async stopOrphan(client: WorkerClient, orphan: AttemptRef): Promise<void> {
        const answer = await client.stop(orphan);
        if (answer.isErr()) {
            this.link.handleCallError(answer.error);
            return;
        }
        this.orphans = this.orphans.filter(other => other !== orphan);
        if (this.orphans.length === 0) {
            this.link.requestInventory();
        }
    }

    private settleAttempt(attempt: Attempt, runs: boolean): void {
        const { phase } = attempt;
        if (phase !== AttemptPhase.Inherited && phase !== AttemptPhase.Live) {
            return;
        }
        const task = this.owner.task(attempt.key);
        const isStopExpected = task?.cancelRequested === true || task?.state !== TaskState.Running;
        attempt.isForgotten = !runs && (phase === AttemptPhase.Live || !isStopExpected);
        attempt.runningSinceMs = runs ? attempt.runningSinceMs || this.link.clock.nowMs() : 0;
        attempt.phase = runs && task?.cancelRequested !== true ? AttemptPhase.Live : AttemptPhase.Stopping;
        if (runs && task?.state === TaskState.Starting) {
            this.owner.record({ kind: "running", ...attempt.ref });
        }
    }
}
