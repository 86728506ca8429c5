import { ConfigDocument } from "@samphireward/core/config-document";
import * as Schema from "effect/Schema";

/**
 * Schema of the value of `config/current`: the document and the changes before it, newest first. The earlier
 * change ids tell whether a change whose answer was lost took effect after another change has followed it.
 */
export const StoredConfig = Schema.Struct({
    ...ConfigDocument.fields,
    earlier: Schema.optionalKey(
        Schema.Array(
            Schema.Struct({
                revision: Schema.Int,
                changeId: Schema.String,
                author: Schema.String,
                timeMs: Schema.Int,
            }),
        ),
    ),
});

export type StoredConfig = (typeof StoredConfig)["Type"];
