import type { CopyOutcome } from "./copy-outcome.js";
import type { IgnoredEnd } from "./ignored-end.js";
import type { Run } from "./run.js";
import type { RunEnd } from "./run-end.js";
import type { SuspicionChange } from "./suspicion-change.js";
import type { Task } from "./task.js";
import type { WorkerIncarnation } from "./worker-incarnation.js";

/** Callbacks that receive the ends of runs. */
export interface EndObserver {
    /** Called for each end of a run that is applied to its task as that of its current run. */
    readonly onApplied?: (task: Task, worker: WorkerIncarnation, end: RunEnd) => void;
    /** Called for each listed end that is not the end of its task's current run. */
    readonly onIgnored?: (worker: WorkerIncarnation, end: IgnoredEnd) => void;
    /** Called for each start of a speculative copy, and when it is known how it has ended. */
    readonly onCopy?: (copy: Run, outcome: CopyOutcome) => void;
    /**
     * Called for each run whose work was wasted because of a copy, with the processor time that it had reserved, in
     * processor-milliseconds.
     */
    readonly onCopyWaste?: (processorMs: number) => void;
    /** Called for each change of the suspicion that a task crashes its workers; `workerKey` is the worker concerned. */
    readonly onSuspicion?: (task: Task, workerKey: string, change: SuspicionChange) => void;
}
