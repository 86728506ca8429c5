import type { ExclusionReason } from "./exclusion-reason.js";
import type { PlacementOutcome } from "./placement-outcome.js";
import type { QueueRule } from "./queue-rule.js";
import type { WorkAhead } from "./work-ahead.js";

/** Workers that cannot take a task now for the same reason. */
interface ExcludedWorkers {
    readonly reason: ExclusionReason;
    readonly count: number;
}

/** The worker on which the first task of a step would start. */
interface ChosenWorker {
    readonly id: string;
    readonly zone: string;
    readonly rack: string;
    /** Processors that are free before the start. */
    readonly freeProcessors: number;
}

/** Where a job would be placed if it were accepted now, and why. Times are wall-clock times, in milliseconds since 1970. */
export interface PlacementExplanation {
    readonly job: string;
    readonly outcome: PlacementOutcome;
    /** Why nothing starts now; absent if a task does. */
    readonly reason?: string;
    readonly queue: QueueRule;
    /** The step that is explained: the job's first one that may start; absent if none may. */
    readonly step?: {
        readonly number: number;
        readonly count: number;
        /** Resources that one task reserves. */
        readonly reserves: {
            readonly processors: number;
            readonly memoryMb: number;
            readonly accelerators: number;
        };
    };
    readonly ahead: WorkAhead;
    readonly workers: {
        readonly total: number;
        /** Workers that can take a task of the step now. */
        readonly suitable: number;
        /** Most frequent reason first. */
        readonly excluded: readonly ExcludedWorkers[];
        /** Whether only the first workers of a large fleet were looked at. */
        readonly isPartial: boolean;
    };
    readonly worker?: ChosenWorker;
    /** Estimates, from the estimates of callers; absent if nothing is known, and the end for lasting tasks. */
    readonly expectedStartMs?: number;
    readonly expectedTaskEndMs?: number;
    readonly expectedJobEndMs?: number;
}
