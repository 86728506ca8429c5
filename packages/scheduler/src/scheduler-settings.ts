import { AddressSchema } from "@samphireward/core/address-schema";
import { DurationSchema } from "@samphireward/core/duration-schema";
import { NameSchema } from "@samphireward/core/name-schema";
import * as Schema from "effect/Schema";

const weight = Schema.Finite.check(Schema.isGreaterThanOrEqualTo(0));

/** Settings of a scheduler process. */
export const SchedulerSettings = Schema.Struct({
    name: NameSchema,
    region: NameSchema,
    dataCentre: NameSchema,
    logLevel: Schema.Literals(["debug", "info", "warn", "error"]),
    peer: Schema.Struct({
        listen: AddressSchema,
        /** Peer addresses of a few other processes, to start from while the store is out of reach. */
        seeds: Schema.Array(AddressSchema),
    }),
    /** How the operators weigh the measures against each other (docs/placement.md). */
    placement: Schema.Struct({
        tailLatency: weight,
        batch: weight,
        load: weight,
        /** Predicted slowdown of latency-critical work above which batch tasks wait; 1 is none. */
        toleratedSlowdown: Schema.Finite.check(Schema.isGreaterThanOrEqualTo(1)),
    }),
    store: Schema.Struct({ address: AddressSchema, timeout: DurationSchema }),
    directory: Schema.Struct({ address: AddressSchema, interval: DurationSchema }),
});

export type SchedulerSettings = (typeof SchedulerSettings)["Type"];
