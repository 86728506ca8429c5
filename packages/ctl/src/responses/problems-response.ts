import * as Schema from "effect/Schema";

/** `PUT /v1/config` with status 422: every problem of the tables. */
export const ProblemsResponse = Schema.Struct({
    problems: Schema.Array(
        Schema.Struct({ file: Schema.String, key: Schema.String, message: Schema.String }),
    ),
});
