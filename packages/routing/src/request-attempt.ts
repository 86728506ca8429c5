import type { HttpExchange } from "./http-exchange.js";
import type { TargetConnection } from "./target-connection.js";
import type { TargetState } from "./target-state.js";

/** A request on its way to one target: the attempt and what it uses. */
export interface RequestAttempt {
    readonly target: TargetState;
    readonly connection: TargetConnection;
    readonly sentAtMs: number;
    exchange?: HttpExchange;
    /** Whether the target has been probed because of this send. */
    isProbed: boolean;
}
