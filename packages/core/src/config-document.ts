import * as Schema from "effect/Schema";

/** Schema of the store's value under `config/current`: both tables under one revision. */
export const ConfigDocument = Schema.Struct({
    revision: Schema.Int,
    /** Unique for each change; tells after a lost answer whether the write took effect. */
    changeId: Schema.String,
    author: Schema.String,
    /** Wall-clock time of the change in milliseconds since 1970, for people only. */
    timeMs: Schema.Int,
    routes: Schema.String,
    pools: Schema.String,
});

export type ConfigDocument = (typeof ConfigDocument)["Type"];
