/** Where a task would be placed if it were accepted now, and why. Times are wall-clock times, in milliseconds since 1970. */
export interface TaskExplanation {
    /** Key of the task. */
    readonly job: string;
    readonly outcome: "starts" | "waits" | "refused" | "known";
    /** Why the task does not start now; absent if it does. */
    readonly reason?: string;
    readonly queue: {
        readonly pool: string;
        readonly team: string;
        readonly class: string;
        /** Order in which the tasks of the cell start. */
        readonly order: string;
    };
    readonly step: {
        readonly number: number;
        readonly count: number;
        readonly reserves: {
            readonly processors: number;
            readonly memoryMb: number;
            readonly accelerators: number;
        };
    };
    /** The queued tasks, in the form of `WorkAhead` of `packages/jobs`; a task counts as one step. */
    readonly ahead: {
        readonly steps: number;
        readonly tasks: number;
        readonly processorMs: number;
        readonly waitingSteps: number;
        readonly startableSteps: number;
        readonly isPartial: boolean;
    };
    readonly workers: {
        readonly total: number;
        readonly suitable: number;
        /** Most frequent reason first. */
        readonly excluded: readonly { readonly reason: string; readonly count: number }[];
        readonly isPartial: boolean;
    };
    readonly worker?: { readonly id: string; readonly rack: string; readonly freeProcessors: number };
    /** Estimates from the declared run times; absent if nothing is known. */
    readonly expectedStartMs?: number;
    readonly expectedTaskEndMs?: number;
}
