import type { CodedError } from "@samphireward/core/coded-error";
import type { Result } from "ts-results-es";
import type { StartCommand } from "./start-command.js";
import type { AttemptRef } from "./attempt-ref.js";
import type { WorkerOutcome } from "./worker-outcome.js";
import type { WorkerTasks } from "./worker-tasks.js";
import type { WorkerUsage } from "./worker-usage.js";

/**
 * A worker's task port (docs/PLATFORM.md) under one owner's epoch. Codes in the 2xxx range prove that nothing
 * was done; 3xxx codes mean that the command may have taken effect. Calls never reject.
 */
export abstract class WorkerClient {
    abstract start(command: StartCommand): Promise<Result<void, CodedError>>;

    /** Renews the leases of all listed attempts; returns those that the worker does not run. */
    abstract renew(
        tasks: readonly AttemptRef[],
        leaseMs: number,
    ): Promise<Result<readonly AttemptRef[], CodedError>>;

    /** Resolves with success once the attempt has stopped, also when it never ran. */
    abstract stop(task: AttemptRef): Promise<Result<void, CodedError>>;

    /** Returns the checkpoint's id. */
    abstract checkpoint(task: AttemptRef): Promise<Result<string, CodedError>>;

    /** Limits the attempt to a share (0 to 1) of its reserved processors. */
    abstract throttle(task: AttemptRef, share: number): Promise<Result<void, CodedError>>;

    /** Raises the worker's highest epoch seen to this owner's, so that commands of earlier owners are rejected. */
    abstract announceEpoch(): Promise<Result<void, CodedError>>;

    abstract tasks(): Promise<Result<WorkerTasks, CodedError>>;

    abstract usage(): Promise<Result<WorkerUsage, CodedError>>;

    abstract outcomes(): Promise<Result<readonly WorkerOutcome[], CodedError>>;

    abstract acknowledge(outcomes: readonly AttemptRef[]): Promise<Result<void, CodedError>>;
}
