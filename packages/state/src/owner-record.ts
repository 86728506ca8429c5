import * as Schema from "effect/Schema";

/** Schema of the value of `cell/<name>/owner`. */
export const OwnerRecord = Schema.Struct({
    /** Name of the scheduler process. */
    owner: Schema.String,
    epoch: Schema.Int,
    /** `ip:port` to which entry processes connect. */
    address: Schema.String,
});

export type OwnerRecord = (typeof OwnerRecord)["Type"];
