import { AddressSchema } from "@samphireward/core/address-schema";
import { DurationSchema } from "@samphireward/core/duration-schema";
import { RuntimeSettings } from "@samphireward/runtime/runtime-settings";
import * as Schema from "effect/Schema";

/** Settings of an entry process. */
export const EntrySettings = Schema.Struct({
    ...RuntimeSettings.fields,
    callers: Schema.Struct({
        listen: AddressSchema,
        /** After a stop signal, time during which the balancer still sends requests here. */
        drain: DurationSchema,
    }),
    admin: Schema.Struct({
        listen: AddressSchema,
        /** File with the bearer token; without it the port needs none. */
        tokenFile: Schema.optionalKey(Schema.String),
    }),
    keys: Schema.Struct({
        /** How long an idempotency key is remembered; must exceed the longest deadline of a route. */
        remember: DurationSchema,
    }),
});

export type EntrySettings = (typeof EntrySettings)["Type"];
