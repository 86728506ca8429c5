import * as Schema from "effect/Schema";

/** `PUT /v1/config` with status 200. */
export const AppliedResponse = Schema.Struct({ revision: Schema.Int });
