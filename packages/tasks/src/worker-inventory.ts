import { Resources } from "@samphireward/core/resources";
import { TaskState } from "@samphireward/core/task-state";
import type { Attempt } from "./attempt.js";
import { AttemptPhase } from "./attempt-phase.js";
import type { LinkState } from "./link-state.js";
import type { Recorder } from "./recorder.js";
import type { TaskRef } from "./task-ref.js";
import type { WorkerClient } from "./worker-client.js";
import type { WorkerEntry } from "./worker-entry.js";
import type { WorkerTasks } from "./worker-tasks.js";

/** While something unknown runs on the worker it is asked this often. */
const ForeignCheckMs = 5000;

/** Compares what a worker runs with the records. What is unknown counts as used until it is gone. */
export class WorkerInventory {
    private orphans: TaskRef[] = [];

    private constructor(
        private readonly entry: WorkerEntry,
        private readonly attempts: ReadonlyMap<string, Attempt>,
        private readonly link: LinkState,
        private readonly recorder: Recorder,
    ) {}

    static create(
        entry: WorkerEntry,
        attempts: ReadonlyMap<string, Attempt>,
        link: LinkState,
        recorder: Recorder,
    ): WorkerInventory {
        return new WorkerInventory(entry, attempts, link, recorder);
    }

    /** An attempt that runs on the worker against the records, and is to be stopped. */
    get firstOrphan(): TaskRef | undefined {
        return this.orphans[0];
    }

    /** Takes the worker's answer. `asked` are the attempts that existed when the question was sent. */
    take(asked: readonly Attempt[], report: WorkerTasks): void {
        const reported = new Set<string>();
        let foreign = Resources.none;
        this.orphans = [];
        for (const task of report.tasks) {
            const attempt = this.attempts.get(task.key);
            if (attempt?.attempt === task.attempt && attempt.phase !== AttemptPhase.Ended) {
                reported.add(task.key);
                continue;
            }
            foreign = foreign.plus(task.resources);
            // A key that the cell does not know may belong to another cell and is left running.
            if (this.recorder.task(task.key) !== undefined) {
                this.orphans.push({ key: task.key, attempt: task.attempt });
            }
        }
        this.entry.setForeign(foreign);
        const isComplete = foreign === Resources.none;
        this.link.setInventoried(isComplete ? Infinity : this.link.clock.nowMs() + ForeignCheckMs);
        asked.forEach(attempt => this.settle(attempt, reported.has(attempt.key)));
    }

    async stopOrphan(client: WorkerClient, orphan: TaskRef): Promise<void> {
        const answer = await client.stop(orphan);
        if (answer.isErr()) {
            this.link.failed(answer.error);
            return;
        }
        this.orphans = this.orphans.filter(other => other !== orphan);
        if (this.orphans.length === 0) {
            this.link.requestInventory();
        }
    }

    private settle(attempt: Attempt, runs: boolean): void {
        const { phase } = attempt;
        if (phase !== AttemptPhase.Inherited && phase !== AttemptPhase.Live) {
            return;
        }
        const task = this.recorder.task(attempt.key);
        attempt.liveSinceMs = runs ? attempt.liveSinceMs || this.link.clock.nowMs() : 0;
        attempt.phase = runs && task?.cancelRequested !== true ? AttemptPhase.Live : AttemptPhase.Stopping;
        if (runs && task?.state === TaskState.Starting) {
            this.recorder.record({ kind: "running", ...attempt.ref });
        }
    }
}
