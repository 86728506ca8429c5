import type { Clock } from "@samphireward/core/clock";
import type { WorkerInfo } from "@samphireward/core/worker-info";
import type { EvictionSettings } from "@samphireward/placement/eviction-settings";
import type { InterferenceLearner } from "@samphireward/placement/interference-learner";
import type { PlacementPolicy } from "@samphireward/placement/placement-policy";
import type { TransitionLog } from "@samphireward/state/transition-log";
import type { CellStateMachine } from "./cell-state-machine.js";
import type { OwnerTables } from "./owner-tables.js";
import type { OwnerTiming } from "./owner-timing.js";
import type { TransitionRow } from "./transition-row.js";
import type { WorkerClient } from "./worker-client.js";

/** What a cell's owner is made of. */
export interface OwnerOptions {
    readonly clock: Clock;
    /** Applies each transition to `machine` once it is durable, before its append resolves. */
    readonly log: TransitionLog<TransitionRow>;
    /** The state up to the log's position at takeover. Belongs to this owner from then on. */
    readonly machine: CellStateMachine;
    readonly policy: PlacementPolicy;
    readonly tables: OwnerTables;
    /** Makes a client that commands the worker under this owner's epoch. */
    readonly connect: (worker: WorkerInfo) => WorkerClient;
    /** Whether the owner's store lease is valid by the monotonic clock; asked before each start. */
    readonly mayGrant: () => boolean;
    /** Told once when another owner has taken the cell. */
    readonly deposed?: (reason: string) => void;
    /** Teaches the policy's interference model from the workers' usage reports. */
    readonly learner?: InterferenceLearner;
    readonly evictions?: Partial<EvictionSettings>;
    readonly timing?: Partial<OwnerTiming>;
}
