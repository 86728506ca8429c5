import type { CodedError } from "@samphireward/core/coded-error";
import type { Result } from "ts-results-es";
import type { LossRecorder } from "./loss-recorder.js";
import type { TaskRecord } from "./task-record.js";
import type { Transition } from "./transition.js";
import type { WorkerUsage } from "./worker-usage.js";

/** Operations of the cell's owner that are available to a worker's link and its components. */
export abstract class OwnerContext {
    /** Whether this owner still owns the cell as far as it knows. */
    abstract get isActive(): boolean;

    /** Returns the durable state of a task. */
    abstract task(key: string): TaskRecord | undefined;

    /** Queues a transition for the log; `onSettled` is called once, with whether it became durable and was applied. */
    abstract record(transition: Transition, onSettled?: (result: Result<void, CodedError>) => void): void;

    /** Ends this owner, for example because a worker has seen a higher epoch. */
    abstract depose(reason: string): void;

    /** Whether this owner's store lease allows new starts now. */
    abstract mayGrant(): boolean;

    abstract wallMs(): number;

    /** Handles a worker's usage report. */
    abstract handleUsageReport(worker: string, usage: WorkerUsage): void;

    /** Appends queued transitions to the log, unless an append is in progress. */
    abstract flush(): void;

    /** Records the losses of attempts on workers. */
    abstract get lossRecorder(): LossRecorder;

    /** Must be called when a worker has become usable or unusable, or its load or the queue has changed. */
    abstract onWorkerChanged(): void;
}
