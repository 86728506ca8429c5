import type { Clock } from "@samphireward/core/clock";
import type { WorkerInfo } from "@samphireward/core/worker-info";
import type { EvictionSettings } from "@samphireward/placement/eviction-settings";
import type { InterferenceLearner } from "@samphireward/placement/interference-learner";
import type { PlacementPolicy } from "@samphireward/placement/placement-policy";
import type { TransitionLog } from "@samphireward/state/transition-log";
import type { CellState } from "./cell-state.js";
import type { OwnerTables } from "./owner-tables.js";
import type { OwnerTiming } from "./owner-timing.js";
import type { Transition } from "./transition.js";
import type { WorkerClient } from "./worker-client.js";

/** Dependencies and settings of a cell's owner. */
export interface OwnerOptions {
    readonly clock: Clock;
    readonly log: TransitionLog<Transition>;
    readonly policy: PlacementPolicy;
    readonly tables: OwnerTables;
    /** Creates a client that commands the worker under this owner's epoch. */
    readonly createClient: (worker: WorkerInfo) => WorkerClient;
    /** Whether the owner's store lease is valid by the monotonic clock; asked before each start. */
    readonly mayGrant: () => boolean;
    /** Called once, with the reason, when another owner has taken the cell or this one is closed. */
    readonly onDeposed?: (reason: string) => void;
    /** State up to the log's position at takeover; empty for a new cell. Only the owner changes it from then on. */
    readonly state?: CellState;
    /** Trains the policy's interference model with the workers' usage reports. */
    readonly learner?: InterferenceLearner;
    readonly evictionSettings?: Partial<EvictionSettings>;
    readonly timing?: Partial<OwnerTiming>;
}
