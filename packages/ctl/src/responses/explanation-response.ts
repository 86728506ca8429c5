import { ResultCode } from "@samphireward/core/result-code";
import * as Schema from "effect/Schema";

const amount = Schema.Number;

/** Response to a question where work would be placed, of a dispatcher or of an entry process. */
export const ExplanationResponse = Schema.Struct({
    code: Schema.Literals(Object.values(ResultCode)),
    /** Id of the job or key of the task. */
    job: Schema.String,
    cell: Schema.Union([Schema.String, Schema.Int]),
    outcome: Schema.String,
    reason: Schema.optionalKey(Schema.String),
    /** The queue's rule; its fields are printed as they are. */
    queue: Schema.Record(Schema.String, Schema.Union([Schema.String, amount, Schema.Boolean])),
    step: Schema.optionalKey(
        Schema.Struct({
            number: Schema.Int,
            count: Schema.Int,
            reserves: Schema.Struct({ processors: amount, memoryMb: amount, accelerators: amount }),
        }),
    ),
    ahead: Schema.Struct({
        steps: Schema.Int,
        tasks: Schema.Int,
        processorMs: amount,
        /** Number of steps that wait, including those that rank after the job. */
        waitingSteps: Schema.Int,
        startableSteps: Schema.Int,
        isPartial: Schema.Boolean,
    }),
    workers: Schema.Struct({
        total: Schema.Int,
        suitable: Schema.Int,
        excluded: Schema.Array(Schema.Struct({ reason: Schema.String, count: Schema.Int })),
        isPartial: Schema.Boolean,
    }),
    worker: Schema.optionalKey(
        Schema.Struct({
            id: Schema.String,
            zone: Schema.optionalKey(Schema.String),
            rack: Schema.String,
            freeProcessors: amount,
        }),
    ),
    expectedStartMs: Schema.optionalKey(amount),
    expectedTaskEndMs: Schema.optionalKey(amount),
    expectedJobEndMs: Schema.optionalKey(amount),
});

export type ExplanationResponse = (typeof ExplanationResponse)["Type"];
