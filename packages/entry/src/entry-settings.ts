import { AddressSchema } from "@samphireward/core/address-schema";
import { DurationSchema } from "@samphireward/core/duration-schema";
import { RuntimeSettings } from "@samphireward/runtime/runtime-settings";
import * as Schema from "effect/Schema";

const PositiveInt = Schema.Int.check(Schema.isGreaterThan(0));

/** Settings of an entry process. */
export const EntrySettings = Schema.Struct({
    ...RuntimeSettings.fields,
    callers: Schema.Struct({
        listen: AddressSchema,
        /** Time after a stop signal during which the balancer may still send requests to this process. */
        drain: DurationSchema,
        /** Connections of callers; beyond it, the one that has been idle for longest is closed. */
        maxConnections: Schema.optionalKey(PositiveInt),
        /** Requests in progress over all routes. */
        maxRequests: Schema.optionalKey(PositiveInt),
        /** Memory of all request bodies, in bytes. */
        maxBodyBytes: Schema.optionalKey(PositiveInt),
    }),
    admin: Schema.Struct({
        listen: AddressSchema,
        /** File with the bearer token; without a file, requests need no token. */
        tokenFile: Schema.optionalKey(Schema.String),
    }),
    keys: Schema.Struct({
        /** How long an idempotency key is remembered; must exceed the longest deadline of a route. */
        remember: DurationSchema,
    }),
});

export type EntrySettings = (typeof EntrySettings)["Type"];
