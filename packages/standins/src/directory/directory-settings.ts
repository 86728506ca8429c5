import { AddressSchema } from "@samphireward/core/address-schema";
import { DurationSchema } from "@samphireward/core/duration-schema";
import * as Schema from "effect/Schema";

/** Schema of the settings file of `samphireward-standin-directory`. */
export const DirectorySettings = Schema.Struct({
    listen: AddressSchema,
    /** Age of the VM list that is served. */
    lag: DurationSchema,
});
