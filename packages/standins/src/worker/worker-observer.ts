import type { RunningTask } from "./running-task.js";

/** Sees every start and end on a stand-in worker; used by checkers. */
export abstract class WorkerObserver {
    abstract started(task: RunningTask, checkpoint: string | undefined): void;

    abstract ended(task: RunningTask, how: "finished" | "failed" | "lease-lapsed" | "stopped" | "died"): void;

    /** A start was refused because it would exceed the capacity. */
    abstract overcommitRefused(key: string, attempt: number): void;
}
