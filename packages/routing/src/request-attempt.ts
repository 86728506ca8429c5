import type { HttpExchange } from "./http-exchange.js";
import type { TargetConnection } from "./target-connection.js";
import type { TargetState } from "./target-state.js";

/** One attempt of a request at a target: its exchange and the resources that it uses. */
export interface RequestAttempt {
    readonly target: TargetState;
    readonly connection: TargetConnection;
    readonly sentAtMs: number;
    exchange?: HttpExchange;
    /** Whether the target has been probed because of this attempt. */
    isProbed: boolean;
}
