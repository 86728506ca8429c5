import type { Attempt } from "./attempt.js";
import type { TargetConnection } from "./target-connection.js";
import type { TargetState } from "./target-state.js";

/** A request on its way to one target: the attempt and what it uses. */
export interface Send {
    readonly target: TargetState;
    readonly connection: TargetConnection;
    readonly sentAtMs: number;
    attempt?: Attempt;
    /** Whether the target has been probed because of this send. */
    isProbed: boolean;
}
