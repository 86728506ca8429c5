import { AddressSchema } from "@samphireward/core/address-schema";
import { DurationSchema } from "@samphireward/core/duration-schema";
import { NameSchema } from "@samphireward/core/name-schema";
import * as Schema from "effect/Schema";

/** Schema of the settings common to both kinds of processes. Durations are in milliseconds. */
export const RuntimeSettings = Schema.Struct({
    name: NameSchema,
    region: NameSchema,
    dataCentre: NameSchema,
    logLevel: Schema.Literals(["debug", "info", "warn", "error"]),
    peer: Schema.Struct({
        listen: AddressSchema,
        /** Peer addresses of a few other processes, used while the store is unreachable. */
        seeds: Schema.Array(AddressSchema),
    }),
    store: Schema.Struct({ address: AddressSchema, timeout: DurationSchema }),
    directory: Schema.Struct({ address: AddressSchema, interval: DurationSchema }),
});

export type RuntimeSettings = (typeof RuntimeSettings)["Type"];
