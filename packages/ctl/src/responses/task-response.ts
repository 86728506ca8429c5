import { ResultCode } from "@samphireward/core/result-code";
import * as Schema from "effect/Schema";

/** Response to `GET /v1/tasks/<key>`: the task's state, its worker and the reason for the state. */
export const TaskResponse = Schema.Struct({
    code: Schema.Literals(Object.values(ResultCode)),
    key: Schema.String,
    pool: Schema.String,
    state: Schema.String,
    attempt: Schema.Int,
    worker: Schema.optionalKey(Schema.String),
    reason: Schema.optionalKey(Schema.String),
    output: Schema.optionalKey(Schema.String),
});

export type TaskResponse = (typeof TaskResponse)["Type"];
