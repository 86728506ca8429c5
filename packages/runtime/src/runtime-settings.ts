import { AddressSchema } from "@samphireward/core/address-schema";
import { DurationSchema } from "@samphireward/core/duration-schema";
import { NameSchema } from "@samphireward/core/name-schema";
import * as Schema from "effect/Schema";

/** Schema of the settings that both kinds of processes have. Durations are in milliseconds. */
export const RuntimeSettings = Schema.Struct({
    name: NameSchema,
    region: NameSchema,
    dataCentre: NameSchema,
    logLevel: Schema.Literals(["debug", "info", "warn", "error"]),
    peer: Schema.Struct({
        listen: AddressSchema,
        /** Peer addresses of a few other processes, to start from while the store is out of reach. */
        seeds: Schema.Array(AddressSchema),
    }),
    store: Schema.Struct({ address: AddressSchema, timeout: DurationSchema }),
    directory: Schema.Struct({ address: AddressSchema, interval: DurationSchema }),
});

export type RuntimeSettings = (typeof RuntimeSettings)["Type"];
