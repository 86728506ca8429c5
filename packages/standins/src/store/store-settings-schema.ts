import { AddressSchema } from "@samphireward/core/address-schema";
import * as Schema from "effect/Schema";

/** Schema of the settings file of `samphireward-standin-store`. */
export const StoreSettingsSchema = Schema.Struct({
    /** `ip:port` to listen on. */
    listen: AddressSchema,
});
