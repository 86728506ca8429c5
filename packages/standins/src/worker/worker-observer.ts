import type { RunningTask } from "./running-task.js";

/** Receives every start and end of an attempt on a stand-in worker; used by invariant checkers. */
export abstract class WorkerObserver {
    abstract started(task: RunningTask, checkpoint: string | undefined): void;

    abstract ended(
        task: RunningTask,
        kind: "finished" | "failed" | "lease-lapsed" | "stopped" | "died",
    ): void;

    /** Called for a start that was refused because it would exceed the capacity. */
    abstract overcommitRefused(key: string, attempt: number): void;
}
