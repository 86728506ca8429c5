import * as Schema from "effect/Schema";

/** Response to `GET /v1/health` with status 200 or 503. */
export const HealthResponse = Schema.Struct({ state: Schema.String, revision: Schema.Int });

export type HealthResponse = (typeof HealthResponse)["Type"];
