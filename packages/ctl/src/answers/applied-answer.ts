import * as Schema from "effect/Schema";

/** `PUT /v1/config` with status 200. */
export const AppliedAnswer = Schema.Struct({ revision: Schema.Int });
