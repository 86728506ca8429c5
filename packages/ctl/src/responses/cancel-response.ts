import { ResultCode } from "@samphireward/core/result-code";
import * as Schema from "effect/Schema";

/** Response to `POST /v1/tasks/cancel`: one result code for each key. */
export const CancelResponse = Schema.Struct({
    results: Schema.Array(
        Schema.Struct({ key: Schema.String, code: Schema.Literals(Object.values(ResultCode)) }),
    ),
});

export type CancelResponse = (typeof CancelResponse)["Type"];
