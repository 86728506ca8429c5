import { ConfigDocument } from "@samphireward/core/config-document";
import * as Schema from "effect/Schema";

/**
 * Schema of the value of `config/current`: the document and the changes before it, newest first. The IDs of the
 * earlier changes show whether a change whose response was lost took effect, even after other changes have followed.
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
