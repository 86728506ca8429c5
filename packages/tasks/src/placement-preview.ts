import type { WorkerEntry } from "./worker-entry.js";

/** How the next placement round would treat a task that was accepted now. */
export interface PlacementPreview {
    /** The worker on which the task starts; absent if it waits. */
    readonly worker?: WorkerEntry;
    /** Why the task waits; empty if it starts. */
    readonly reason: string;
    /** Queued tasks that go before it, and their declared work in processor-milliseconds. */
    readonly tasksAhead: number;
    readonly processorMsAhead: number;
    /** All queued tasks of the cell. */
    readonly waitingTasks: number;
    /** Tasks ahead that may start now as well, and may take the worker. */
    readonly startableAhead: number;
    /** Whether only the first tasks of a long queue were looked at. */
    readonly isPartial: boolean;
}
