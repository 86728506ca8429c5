import * as Schema from "effect/Schema";
import { DurationSchema } from "./duration-schema.js";
import { NameSchema } from "./name-schema.js";

const positiveInt = Schema.Int.check(Schema.isGreaterThan(0));

/** Schema of one row of the routes table. */
export const RouteSchema = Schema.Struct({
    /** Path prefix, matched on whole segments; the longest match wins. */
    path: Schema.String.check(Schema.isPattern(/^\/[\w./-]*$/, { expected: `a path that starts with "/"` })),
    pool: NameSchema,
    kind: Schema.Literals(["request", "task"]),
    /** Whether a target may safely receive the request more than once. */
    idempotent: Schema.Boolean,
    deadline: DurationSchema,
    maxBodyBytes: positiveInt,
    /** Maximum number of requests of this route that wait in one entry process. */
    maxQueue: positiveInt,
    /** Service-level objective: `ratio` of the requests are answered within `latency`. */
    objective: Schema.Struct({
        latency: DurationSchema,
        ratio: Schema.Finite.check(Schema.isBetween({ minimum: 0.5, maximum: 0.99999 })),
    }),
});
