import type { Route } from "./route.js";

/** The operators' configuration in force. */
export interface OperatorConfig {
    readonly version: number;
    readonly routes: readonly Route[];
    /** Largest request body, in bytes. */
    readonly maxBodyBytes: number;
}
