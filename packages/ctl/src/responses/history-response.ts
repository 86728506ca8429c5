import * as Schema from "effect/Schema";

/** Response to `GET /v1/config/history`: the changes that the process has seen, newest first. */
export const HistoryResponse = Schema.Struct({
    changes: Schema.Array(
        Schema.Struct({
            revision: Schema.Int,
            changeId: Schema.String,
            author: Schema.String,
            timeMs: Schema.Int,
        }),
    ),
});

export type HistoryResponse = (typeof HistoryResponse)["Type"];
