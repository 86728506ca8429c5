import { AddressSchema } from "@samphireward/core/address-schema";
import { DurationSchema } from "@samphireward/core/duration-schema";
import { NameSchema } from "@samphireward/core/name-schema";
import * as Schema from "effect/Schema";

/** Settings of an entry process. */
export const EntrySettings = Schema.Struct({
    name: NameSchema,
    region: NameSchema,
    dataCentre: NameSchema,
    logLevel: Schema.Literals(["debug", "info", "warn", "error"]),
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
    peer: Schema.Struct({
        listen: AddressSchema,
        /** Peer addresses of a few other processes, to start from while the store is out of reach. */
        seeds: Schema.Array(AddressSchema),
    }),
    keys: Schema.Struct({
        /** How long an idempotency key is remembered; must exceed the longest deadline of a route. */
        remember: DurationSchema,
    }),
    store: Schema.Struct({ address: AddressSchema, timeout: DurationSchema }),
    directory: Schema.Struct({ address: AddressSchema, interval: DurationSchema }),
});

export type EntrySettings = (typeof EntrySettings)["Type"];
