import type { TaskRecord } from "./task-record.js";
import type { Transition } from "./transition.js";

/** What a worker's conversation may ask of the cell's owner. */
export abstract class Recorder {
    /** Whether this owner still owns the cell as far as it knows. */
    abstract get active(): boolean;

    /** Durable state of a task. */
    abstract task(key: string): TaskRecord | undefined;

    /** Queues a transition for the log; `settled` tells whether it became durable (and is then applied). */
    abstract record(transition: Transition, settled?: (durable: boolean) => void): void;

    /** A worker has seen a higher epoch: this owner ends. */
    abstract depose(reason: string): void;

    /** Whether this owner's store lease allows new grants now. */
    abstract mayGrant(): boolean;

    abstract wallMs(): number;

    /** A worker has become usable or unusable. */
    abstract workerChanged(): void;
}
