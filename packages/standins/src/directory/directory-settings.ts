import { AddressSchema } from "@samphireward/core/address-schema";
import { DurationSchema } from "@samphireward/core/duration-schema";
import * as Schema from "effect/Schema";

/** Settings of the stand-in for the VM directory. */
export const DirectorySettings = Schema.Struct({
    listen: AddressSchema,
    /** Age of the list that is served. */
    lag: DurationSchema,
});
