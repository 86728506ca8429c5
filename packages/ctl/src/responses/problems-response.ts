import * as Schema from "effect/Schema";

/** Response to `PUT /v1/config` with status 422: all problems found in the tables. */
export const ProblemsResponse = Schema.Struct({
    problems: Schema.Array(
        Schema.Struct({ file: Schema.String, key: Schema.String, message: Schema.String }),
    ),
});
