import * as Schema from "effect/Schema";

/** Schema of the value that the store holds under `config/current`: both tables under one revision. */
export const ConfigDocument = Schema.Struct({
    revision: Schema.Int,
    /** Unique for each change; shows after a lost response whether the write took effect. */
    changeId: Schema.String,
    author: Schema.String,
    /** Wall-clock time of the change in milliseconds since 1970, for display only. */
    timeMs: Schema.Int,
    routes: Schema.String,
    pools: Schema.String,
});

export type ConfigDocument = (typeof ConfigDocument)["Type"];
