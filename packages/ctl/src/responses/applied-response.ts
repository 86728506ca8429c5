import * as Schema from "effect/Schema";

/** Response to `PUT /v1/config` with status 200. */
export const AppliedResponse = Schema.Struct({ revision: Schema.Int });
