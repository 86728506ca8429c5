import * as Schema from "effect/Schema";

/** Schema of the key `cell/<name>/owner`. */
export const OwnerRecord = Schema.Struct({
    /** Name of the scheduler process. */
    owner: Schema.String,
    epoch: Schema.Int,
    /** `ip:port` where entry processes attach. */
    address: Schema.String,
});

export type OwnerRecord = (typeof OwnerRecord)["Type"];
