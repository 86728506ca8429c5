import type { CrashSuspicions } from "./crash-suspicions.js";
import type { Job } from "./job.js";
import type { JobRegistry } from "./job-registry.js";
import type { Task } from "./task.js";
import type { Trials } from "./trials.js";
import type { WorkerFleet } from "./worker-fleet.js";

/** Dependencies provided by the cell's scheduler. */
interface InheritedContext {
    readonly jobs: JobRegistry;
    readonly fleet: WorkerFleet;
    readonly trials: Trials;
    readonly suspicions: CrashSuspicions;
}

/** Monotonic and wall-clock time of the decision. */
interface ResolveTimes {
    readonly nowMs: number;
    readonly wallMs: number;
}

/** Suspected tasks that a previous owner left, and those that it had stored with a worker that may be lost. */
export class InheritedTrials {
    private readonly tasks = new Set<Task>();

    private constructor(private readonly context: InheritedContext) {}

    static create(context: InheritedContext): InheritedTrials {
        return new InheritedTrials(context);
    }

    addJob(job: Job): void {
        for (const task of job.tasks()) {
            if (task.hasCrashes || task.inheritedWorkerKey !== undefined) {
                this.tasks.add(task);
            }
        }
    }

    /**
     * Decides about the tasks whose worker has been read or is known to be gone. `mayHaveRuns` tells whether a worker,
     * by its key, is still to be read.
     */
    resolve(mayHaveRuns: (workerKey: string) => boolean, { nowMs, wallMs }: ResolveTimes): void {
        for (const task of this.tasks) {
            const { inheritedWorkerKey } = task;
            const keys = [
                ...task.crashes.storedWorkers.keys(),
                ...(inheritedWorkerKey ? [inheritedWorkerKey] : []),
            ];
            if (!keys.some(mayHaveRuns)) {
                this.tasks.delete(task);
                this.resolveTask(task, inheritedWorkerKey, { nowMs, wallMs });
            }
        }
    }

    private resolveTask(task: Task, workerKey: string | undefined, { nowMs, wallMs }: ResolveTimes): void {
        const { fleet, trials, suspicions, jobs } = this.context;
        const stored = new Map(task.crashes.storedWorkers);
        if (workerKey !== undefined && !stored.has(workerKey)) {
            stored.set(workerKey, { worker: workerKey, address: task.inheritedWorkerAddress ?? "" });
        }
        task.inheritedWorkerKey = undefined;
        for (const lost of stored.values()) {
            task.crashes.forgetStoredWorker(lost.worker);
            const worker = [...fleet.workers].find(({ key }) => key === lost.worker);
            if (worker?.hasListedRuns !== true) {
                suspicions.noteInheritedLoss(task, lost, nowMs);
            } else if (task.run?.worker === worker && task.suspicion > 0 && worker.trialTask === undefined) {
                trials.open(task, worker);
            }
            jobs.markChanged(task.step.occurrence.job);
        }
        suspicions.giveUpIfDue(task, wallMs);
    }
}
