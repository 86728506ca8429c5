import type { CodedError } from "@samphireward/core/coded-error";
import type { Result } from "ts-results-es";
import type { TaskRecord } from "./task-record.js";
import type { Transition } from "./transition.js";
import type { WorkerUsage } from "./worker-usage.js";

/** What a worker's link may ask of the cell's owner. */
export abstract class OwnerContext {
    /** Whether this owner still owns the cell as far as it knows. */
    abstract get isActive(): boolean;

    /** Durable state of a task. */
    abstract task(key: string): TaskRecord | undefined;

    /** Queues a transition for the log; `settled` is told once whether it became durable and was applied. */
    abstract record(transition: Transition, settled?: (result: Result<void, CodedError>) => void): void;

    /** A worker has seen a higher epoch: this owner ends. */
    abstract depose(reason: string): void;

    /** Whether this owner's store lease allows new grants now. */
    abstract mayGrant(): boolean;

    abstract wallMs(): number;

    /** A worker has reported its usage. */
    abstract handleUsageReport(worker: string, usage: WorkerUsage): void;

    /** A worker has become usable or unusable. */
    abstract onWorkerChanged(): void;
}
