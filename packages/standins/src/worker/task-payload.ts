import * as Schema from "effect/Schema";

/** Schema of the work that a stand-in task carries as JSON text. */
export const TaskPayload = Schema.Struct({
    /** Run time at full speed in milliseconds. */
    runMs: Schema.Finite.check(Schema.isGreaterThanOrEqualTo(0)),
    /** The task ends as failed after its run time. */
    fail: Schema.optionalKey(Schema.Boolean),
    /** What the task really uses; its reservation when absent. */
    usage: Schema.optionalKey(Schema.Struct({ processors: Schema.Finite, memoryMb: Schema.Finite })),
});

export type TaskPayload = (typeof TaskPayload)["Type"];
